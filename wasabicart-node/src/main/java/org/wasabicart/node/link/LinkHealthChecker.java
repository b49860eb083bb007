package org.wasabicart.node.link;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.link.LinkCheck;
import org.wasabicart.core.link.LinkMonitor;

/**
 * Checks the health of a link periodically while streams are open; a link without streams
 * needs no timer. Confined to the channel's event loop.
 */
final class LinkHealthChecker {

	static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(300);

	static final Duration SUSPECT_AFTER = Duration.ofMillis(600);

	static final Duration CLIENT_SILENT_AFTER = Duration.ofMillis(900);

	/**
	 * Longer than on the client, so that the client gives up the link first and can still
	 * ask for the result of an order.
	 */
	static final Duration SERVER_SILENT_AFTER = Duration.ofMillis(1800);

	private static final long CHECK_INTERVAL_MILLISECONDS = 100;

	private final Channel channel;

	private final Ticker ticker;

	private final LinkMonitor monitor;

	private final BooleanSupplier streamsOpen;

	private final Consumer<LinkCheck> checkListener;

	private Future<?> checkTask;

	LinkHealthChecker(Channel channel, Ticker ticker, Duration silentAfter, BooleanSupplier streamsOpen,
			Consumer<LinkCheck> checkListener) {
		this.channel = channel;
		this.ticker = ticker;
		this.monitor = new LinkMonitor(HEARTBEAT_INTERVAL, SUSPECT_AFTER, silentAfter);
		this.streamsOpen = streamsOpen;
		this.checkListener = checkListener;
	}

	void start() {
		this.monitor.start(this.ticker.nanoseconds());
		if (this.checkTask == null) {
			this.checkTask = this.channel.eventLoop()
				.scheduleWithFixedDelay(this::check, CHECK_INTERVAL_MILLISECONDS, CHECK_INTERVAL_MILLISECONDS,
						TimeUnit.MILLISECONDS);
		}
	}

	void frameReceived() {
		this.monitor.frameReceived(this.ticker.nanoseconds());
	}

	void stop() {
		this.monitor.stop();
		if (this.checkTask != null) {
			this.checkTask.cancel(false);
			this.checkTask = null;
		}
	}

	private void check() {
		if (!this.streamsOpen.getAsBoolean()) {
			stop();
			return;
		}
		this.checkListener.accept(this.monitor.check(this.ticker.nanoseconds()));
	}

}
