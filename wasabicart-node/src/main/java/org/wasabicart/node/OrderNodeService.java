package org.wasabicart.node;

import java.util.concurrent.TimeUnit;

import org.wasabicart.node.order.OrderParts;
import org.wasabicart.node.order.OrderService;
import org.wasabicart.node.request.ExecutorTaskScheduler;

/**
 * Runs the timers of orders while the node runs.
 */
final class OrderNodeService implements NodeService {

	private static final long TICK_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final ExecutorTaskScheduler scheduler;

	private final OrderService orders;

	/**
	 * Creates the service.
	 * @param scheduler the node's scheduler, which is closed with the node
	 * @param parts dependencies of orders
	 */
	OrderNodeService(ExecutorTaskScheduler scheduler, OrderParts parts) {
		this.scheduler = scheduler;
		this.orders = new OrderService(parts);
	}

	OrderService orders() {
		return this.orders;
	}

	@Override
	public void start() {
		this.scheduler.repeat(TICK_NANOSECONDS, this.orders::tick);
	}

	@Override
	public void close() {
		// The node closes the scheduler, which ends the timer.
	}

}
