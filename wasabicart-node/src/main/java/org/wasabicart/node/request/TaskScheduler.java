package org.wasabicart.node.request;

/**
 * Runs tasks after a delay, for deadlines and backoff.
 */
@FunctionalInterface
public interface TaskScheduler {

	/**
	 * Schedules a task.
	 * @param delayNanoseconds delay; zero or less runs the task as soon as possible
	 * @param task task; must not block
	 * @return handle to cancel the task
	 */
	ScheduledTask schedule(long delayNanoseconds, Runnable task);

	/**
	 * Handle of a scheduled task.
	 */
	@FunctionalInterface
	interface ScheduledTask {

		/**
		 * Cancels the task. Has no effect once the task has started.
		 */
		void cancel();

	}

}
