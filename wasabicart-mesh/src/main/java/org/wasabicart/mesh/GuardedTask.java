package org.wasabicart.mesh;

import java.util.Objects;

import org.jboss.logging.Logger;

/**
 * Runs a task and logs its failure. A periodic task of an event loop is not run again
 * after it has thrown an exception.
 */
final class GuardedTask implements Runnable {

	private static final Logger logger = Logger.getLogger(GuardedTask.class);

	private final String name;

	private final Runnable task;

	private boolean failed;

	/**
	 * Creates a task.
	 * @param name name of the task, for the log
	 * @param task task
	 */
	GuardedTask(String name, Runnable task) {
		this.name = Objects.requireNonNull(name, "name");
		this.task = Objects.requireNonNull(task, "task");
	}

	@Override
	public void run() {
		try {
			this.task.run();
			this.failed = false;
		}
		catch (RuntimeException | StackOverflowError ex) {
			// A task that fails each time would fill the log.
			if (!this.failed) {
				logger.errorf(ex, "event=task-failed task=%s reason=\"%s\"", this.name, LogReason.of(ex));
			}
			this.failed = true;
		}
	}

}
