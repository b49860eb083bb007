package org.wasabicart.review;

import java.io.IOException;

/**
 * Daemon threads of stand-ins.
 */
final class Threads {

	private Threads() {
	}

	/**
	 * Starts a thread. An {@link IOException} ends it.
	 * @param name name
	 * @param task task
	 * @return the thread
	 */
	static Thread start(String name, Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The peer has closed the connection, or the case is over.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/**
	 * Task that may fail.
	 */
	@FunctionalInterface
	interface Task {

		void run() throws IOException, InterruptedException;

	}

}
