package org.wasabicart.node.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.membership.ReconnectBackoff;
import org.wasabicart.store.ConfigurationPublisher;
import org.wasabicart.store.StoreClient;
import org.wasabicart.store.StoreWatch;
import org.wasabicart.store.StoreWatchListener;
import org.wasabicart.store.StoredValue;

/**
 * Watches the configuration in the store while the node is a relay. The configuration is
 * also read before a watch is opened, and periodically.
 */
final class RelayWatch {

	private static final Logger LOGGER = Logger.getLogger(RelayWatch.class);

	/**
	 * A watch can stop delivering changes without an error while the store works; the
	 * periodic read bounds the delay of a missed change. More frequent reads of a large
	 * value would exceed the node's share of the network.
	 */
	private static final long MEAN_READ_INTERVAL_NANOSECONDS = Duration.ofSeconds(300).toNanos();

	private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);

	// With 12 relays and full jitter, the first one reconnects within about 2 s after the
	// end of an outage.
	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(5);

	private final StoreClient store;

	private final ConfigurationAdopter adopter;

	private final Ticker ticker;

	private final Executor executor;

	private final ReconnectBackoff backoff;

	private final RandomGenerator random;

	private Optional<StoreWatch> watch = Optional.empty();

	private long watchGeneration;

	private boolean reading;

	private long nextReadTime;

	RelayWatch(StoreClient store, ConfigurationAdopter adopter, Ticker ticker, RandomGenerator random,
			Executor executor) {
		this.store = store;
		this.adopter = adopter;
		this.ticker = ticker;
		this.random = random;
		this.executor = executor;
		this.backoff = new ReconnectBackoff(FIRST_BACKOFF, MAXIMUM_BACKOFF, random);
		this.nextReadTime = ticker.nanoseconds();
	}

	void tick(boolean relay) {
		if (!relay) {
			stop();
			return;
		}
		if (!this.reading && this.ticker.nanoseconds() - this.nextReadTime >= 0) {
			read();
		}
	}

	private void read() {
		this.reading = true;
		this.store.get(ConfigurationPublisher.CONFIGURATION_KEY)
			.whenComplete((value, ex) -> this.executor.execute(() -> readEnded(value, ex)));
	}

	private void readEnded(Optional<StoredValue> value, Throwable failure) {
		this.reading = false;
		long now = this.ticker.nanoseconds();
		if (failure != null) {
			this.nextReadTime = now + this.backoff.nextDelay();
			return;
		}
		this.backoff.reset();
		this.nextReadTime = now + MEAN_READ_INTERVAL_NANOSECONDS / 2
				+ this.random.nextLong(MEAN_READ_INTERVAL_NANOSECONDS);
		value.ifPresent(this::offer);
		if (this.watch.isEmpty()) {
			openWatch();
		}
	}

	private void openWatch() {
		this.watchGeneration++;
		long openedGeneration = this.watchGeneration;
		this.watch = Optional.of(this.store.watch(ConfigurationPublisher.CONFIGURATION_KEY,
				this.adopter.adoption().inForce(), new StoreWatchListener() {

					@Override
					public void changed(StoredValue value) {
						RelayWatch.this.executor.execute(() -> offer(value));
					}

					@Override
					public void ended(Throwable cause) {
						RelayWatch.this.executor.execute(() -> watchEnded(openedGeneration, cause));
					}

				}));
	}

	private void watchEnded(long openedGeneration, Throwable cause) {
		if (openedGeneration != this.watchGeneration) {
			return;
		}
		LOGGER.debugf("event=configuration-watch-ended reason=%s", cause.getMessage());
		this.watch = Optional.empty();
		this.nextReadTime = this.ticker.nanoseconds() + this.backoff.nextDelay();
	}

	/**
	 * Cancels the watch and schedules the read after which a new one is opened. Called
	 * when another store call failed, since the watch may have stopped delivering changes
	 * for the same reason.
	 */
	void restart() {
		if (this.watch.isPresent()) {
			this.watchGeneration++;
			this.watch.get().cancel();
			this.watch = Optional.empty();
			this.nextReadTime = this.ticker.nanoseconds() + this.backoff.nextDelay();
		}
	}

	private void offer(StoredValue value) {
		this.adopter.offer(value.revision(), value.value(), "store");
	}

	void stop() {
		this.watchGeneration++;
		this.watch.ifPresent(StoreWatch::cancel);
		this.watch = Optional.empty();
		this.nextReadTime = this.ticker.nanoseconds();
	}

}
