package org.wasabicart.core.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.Priority;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryHints;

/**
 * Early refusal that learns from answers which services calls of each kind reach. A
 * service that a kind has not reached for some time is forgotten, so that after a change
 * of the call graph its threshold no longer causes refusals.
 */
final class LearningEarlyRefusal implements EarlyRefusal {

	/** A kind forgets a service that its answers have not named for this time. */
	static final long REACHED_MAXIMUM_AGE_NANOSECONDS = Duration.ofSeconds(10).toNanos();

	/**
	 * Load above capacity, as a multiple of the capacity, that retry hints assume when a
	 * service refuses all priorities; proportionally less when it refuses fewer.
	 */
	private static final double MAXIMUM_EXCESS_LOAD_RATIO = 8;

	private final Function<KindName, Optional<ServiceName>> entryService;

	private final Ticker ticker;

	private final RetryHints hints;

	private final Map<ServiceName, ObservedThreshold> thresholds = new ConcurrentHashMap<>();

	/** Time at which an answer to a call of the kind last named the service. */
	private final Map<KindName, Map<ServiceName, Long>> lastReached = new ConcurrentHashMap<>();

	LearningEarlyRefusal(Function<KindName, Optional<ServiceName>> entryService, Ticker ticker,
			RandomGenerator random) {
		this.entryService = Objects.requireNonNull(entryService, "entryService");
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.hints = new RetryHints(random);
	}

	@Override
	public Optional<Outcome.Refused> check(RequestContext context) {
		Map<ServiceName, Long> services = this.lastReached.get(context.kind());
		if (services == null) {
			return Optional.empty();
		}
		long now = this.ticker.nanoseconds();
		int entryPriority = context.priority();
		// Services below the entry service see the call as a nested one.
		int nestedPriority = entryPriority | Priority.BUCKETS;
		ServiceName entry = this.entryService.apply(context.kind()).orElse(null);
		for (Map.Entry<ServiceName, Long> service : services.entrySet()) {
			if (now - service.getValue() > REACHED_MAXIMUM_AGE_NANOSECONDS) {
				services.remove(service.getKey(), service.getValue());
				continue;
			}
			ObservedThreshold threshold = this.thresholds.get(service.getKey());
			int priority = service.getKey().equals(entry) ? entryPriority : nestedPriority;
			if (threshold != null && !threshold.passes(priority, now)) {
				double loadRatio = 1 + MAXIMUM_EXCESS_LOAD_RATIO * threshold.refusedShare();
				return Optional.of(this.hints.refuse(RefusalReason.OVERLOADED, loadRatio));
			}
		}
		return Optional.empty();
	}

	@Override
	public void recordThreshold(KindName kind, ServiceName service, int threshold) {
		long now = this.ticker.nanoseconds();
		this.lastReached.computeIfAbsent(kind, (key) -> new ConcurrentHashMap<>()).put(service, now);
		ObservedThreshold known = this.thresholds.get(service);
		if (known == null) {
			known = this.thresholds.putIfAbsent(service, new ObservedThreshold(threshold, now));
		}
		if (known != null) {
			known.report(threshold, now);
		}
	}

}
