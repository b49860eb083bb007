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
 * Early refusal with learned touched services. A service that a kind has not touched for
 * some time is forgotten, so that a changed call graph does not cause refusals for ever.
 */
final class LearningEarlyRefusal implements EarlyRefusal {

	/** A kind forgets a service that no answer named for this time. */
	static final long TOUCHED_AGE = Duration.ofSeconds(10).toNanos();

	/** Load assumed in hints per full range of refused priorities. */
	private static final double HINT_LOAD_RANGE = 8;

	private final Function<KindName, Optional<ServiceName>> entryService;

	private final Ticker ticker;

	private final RetryHints hints;

	private final Map<ServiceName, ObservedThreshold> thresholds = new ConcurrentHashMap<>();

	/** Last time at which an answer of the kind named the service. */
	private final Map<KindName, Map<ServiceName, Long>> touched = new ConcurrentHashMap<>();

	LearningEarlyRefusal(Function<KindName, Optional<ServiceName>> entryService, Ticker ticker,
			RandomGenerator random) {
		this.entryService = Objects.requireNonNull(entryService, "entryService");
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.hints = new RetryHints(random);
	}

	@Override
	public Optional<Outcome.Refused> check(RequestContext context) {
		Map<ServiceName, Long> services = this.touched.get(context.kind());
		if (services == null) {
			return Optional.empty();
		}
		long now = this.ticker.nanoseconds();
		int own = context.priority();
		int nested = own | Priority.BUCKETS;
		ServiceName entry = this.entryService.apply(context.kind()).orElse(null);
		for (Map.Entry<ServiceName, Long> service : services.entrySet()) {
			if (now - service.getValue() > TOUCHED_AGE) {
				services.remove(service.getKey(), service.getValue());
				continue;
			}
			ObservedThreshold threshold = this.thresholds.get(service.getKey());
			int priority = service.getKey().equals(entry) ? own : nested;
			if (threshold != null && !threshold.passes(priority, now)) {
				double loadRatio = 1 + HINT_LOAD_RANGE * threshold.refusedShare();
				return Optional.of(this.hints.refuse(RefusalReason.OVERLOADED, loadRatio));
			}
		}
		return Optional.empty();
	}

	@Override
	public void learn(KindName kind, ServiceName service, int threshold) {
		long now = this.ticker.nanoseconds();
		this.touched.computeIfAbsent(kind, (key) -> new ConcurrentHashMap<>()).put(service, now);
		ObservedThreshold known = this.thresholds.get(service);
		if (known == null) {
			known = this.thresholds.putIfAbsent(service, new ObservedThreshold(threshold, now));
		}
		if (known != null) {
			known.report(threshold, now);
		}
	}

}
