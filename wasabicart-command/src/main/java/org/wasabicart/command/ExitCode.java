package org.wasabicart.command;

/**
 * Exit codes of the command line.
 */
public enum ExitCode {

	/** The command succeeded. */
	SUCCESS(0),

	/** The command was refused, or the configuration has findings. */
	REFUSED(1),

	/** The command line is invalid, or a file that it names cannot be read. */
	USAGE(2),

	/** The outcome is unknown; the command can be repeated safely. */
	UNKNOWN(3);

	private final int status;

	ExitCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the exit status
	 */
	public int status() {
		return this.status;
	}

}
