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
 * Drives a link's monitor while streams are open; a link without streams costs no timer.
 * Confined to the channel's event loop.
 */
final class LinkPulse {

	static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(300);

	static final Duration SUSPECT_AFTER = Duration.ofMillis(600);

	static final Duration CLIENT_SILENT_AFTER = Duration.ofMillis(900);

	/** The opener decides first, so that it can still ask for the result of an order. */
	static final Duration SERVER_SILENT_AFTER = Duration.ofMillis(1800);

	private static final long CHECK_MILLISECONDS = 100;

	private final Channel channel;

	private final Ticker ticker;

	private final LinkMonitor monitor;

	private final BooleanSupplier streamsOpen;

	private final Consumer<LinkCheck> checked;

	private Future<?> checks;

	LinkPulse(Channel channel, Ticker ticker, Duration silentAfter, BooleanSupplier streamsOpen,
			Consumer<LinkCheck> checked) {
		this.channel = channel;
		this.ticker = ticker;
		this.monitor = new LinkMonitor(HEARTBEAT_INTERVAL, SUSPECT_AFTER, silentAfter);
		this.streamsOpen = streamsOpen;
		this.checked = checked;
	}

	void start() {
		this.monitor.start(this.ticker.nanoseconds());
		if (this.checks == null) {
			this.checks = this.channel.eventLoop()
				.scheduleWithFixedDelay(this::check, CHECK_MILLISECONDS, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS);
		}
	}

	void progress() {
		this.monitor.progress(this.ticker.nanoseconds());
	}

	void stop() {
		this.monitor.stop();
		if (this.checks != null) {
			this.checks.cancel(false);
			this.checks = null;
		}
	}

	private void check() {
		if (!this.streamsOpen.getAsBoolean()) {
			stop();
			return;
		}
		this.checked.accept(this.monitor.tick(this.ticker.nanoseconds()));
	}

}
