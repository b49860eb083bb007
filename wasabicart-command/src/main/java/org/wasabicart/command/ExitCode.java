package org.wasabicart.command;

/**
 * Exit codes of the command line.
 */
public enum ExitCode {

	/** The command did what was asked. */
	DONE(0),

	/** The command was refused or there are findings. */
	REFUSED(1),

	/** The command line itself is wrong. */
	USAGE(2),

	/** Whether the command took effect is unknown; it can be repeated safely. */
	UNKNOWN(3);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the number for the operating system.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

}
