package org.wasabicart.node.request;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * Task scheduler that runs all tasks on one thread.
 */
public final class ExecutorTaskScheduler implements TaskScheduler, AutoCloseable {

	private static final Logger LOGGER = Logger.getLogger(ExecutorTaskScheduler.class);

	private final ScheduledThreadPoolExecutor executor;

	/**
	 * Creates a scheduler and its thread.
	 */
	public ExecutorTaskScheduler() {
		// Tasks that are scheduled after the scheduler was closed are discarded.
		this.executor = new ScheduledThreadPoolExecutor(1, ExecutorTaskScheduler::newThread,
				new ThreadPoolExecutor.DiscardPolicy());
		// Most deadline timers are cancelled. Without removal, cancelled ones would
		// accumulate in the queue until their deadline.
		this.executor.setRemoveOnCancelPolicy(true);
		this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
	}

	private static Thread newThread(Runnable task) {
		Thread thread = new Thread(task, "scheduler");
		thread.setDaemon(true);
		return thread;
	}

	@Override
	public ScheduledTask schedule(long delayNanoseconds, Runnable task) {
		Future<?> future = this.executor.schedule(() -> run(task), delayNanoseconds, TimeUnit.NANOSECONDS);
		return () -> future.cancel(false);
	}

	/**
	 * Runs a task repeatedly until the scheduler is closed.
	 * @param periodNanoseconds time between the end of a run and the start of the next
	 * @param task task; must not block
	 */
	public void repeat(long periodNanoseconds, Runnable task) {
		this.executor.scheduleWithFixedDelay(() -> run(task), periodNanoseconds, periodNanoseconds,
				TimeUnit.NANOSECONDS);
	}

	private static void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			// An exception thrown by a repeated task would end its repetition.
			LOGGER.error("event=scheduled-task-failed", ex);
		}
	}

	@Override
	public void close() {
		this.executor.shutdown();
	}

}
