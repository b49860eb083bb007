package org.wasabicart.core.routing;

import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;

/**
 * Creates {@link EarlyRefusal} instances.
 */
public final class EarlyRefusals {

	private static final EarlyRefusal NONE = new EarlyRefusal() {

		@Override
		public Optional<Outcome.Refused> check(RequestContext context) {
			return Optional.empty();
		}

		@Override
		public void recordThreshold(KindName kind, ServiceName service, int threshold) {
			// The baseline does not use thresholds.
		}

	};

	private EarlyRefusals() {
	}

	/**
	 * Creates an early refusal that learns from answers which services calls of each kind
	 * reach, and their thresholds.
	 * @param entryService entry service of a kind, from the configuration in force; empty
	 * if the kind is not configured
	 * @param ticker clock
	 * @param random random source, safe for use by several threads
	 * @return the early refusal
	 */
	public static EarlyRefusal learning(Function<KindName, Optional<ServiceName>> entryService, Ticker ticker,
			RandomGenerator random) {
		return new LearningEarlyRefusal(entryService, ticker, random);
	}

	/**
	 * Returns the baseline for comparison, which refuses nothing.
	 * @return the early refusal
	 */
	public static EarlyRefusal none() {
		return NONE;
	}

}
