package org.wasabicart.experiment.harness;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Process that the harness started.
 */
public final class ManagedProcess {

	private final String name;

	private final Process process;

	private final Path log;

	ManagedProcess(String name, Process process, Path log) {
		this.name = name;
		this.process = process;
		this.log = log;
	}

	public String name() {
		return this.name;
	}

	/**
	 * Returns the process id.
	 * @return the process id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns the file with the standard output and error of the process.
	 * @return the file
	 */
	public Path log() {
		return this.log;
	}

	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Sends a signal.
	 * @param signal signal to send
	 * @throws IOException if the signal could not be sent
	 * @throws InterruptedException if interrupted
	 */
	public void signal(ProcessSignal signal) throws IOException, InterruptedException {
		if (signal == ProcessSignal.KILL) {
			this.process.destroyForcibly();
			return;
		}
		if (signal == ProcessSignal.TERM) {
			this.process.destroy();
			return;
		}
		// The JDK offers no method to send the other signals.
		int exit = new ProcessBuilder("kill", "-" + signal.name(), Long.toString(pid())).start().waitFor();
		if (exit != 0) {
			throw new IOException("Signal " + signal + " could not be sent to process " + this.name);
		}
	}

	/**
	 * Waits until the process has exited.
	 * @param seconds maximum time to wait
	 * @return whether it has exited
	 * @throws InterruptedException if interrupted
	 */
	public boolean awaitExit(long seconds) throws InterruptedException {
		return this.process.waitFor(seconds, TimeUnit.SECONDS);
	}

}
