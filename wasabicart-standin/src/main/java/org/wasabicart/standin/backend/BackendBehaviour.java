package org.wasabicart.standin.backend;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Random and time-dependent behaviour of a backend server: jitter, cold start, state and
 * faults.
 */
final class BackendBehaviour {

	private final BackendConfiguration configuration;

	private final LongSupplier nanoseconds;

	private final SplittableRandom random;

	private BackendFaults faults = BackendFaults.NONE;

	private boolean draining;

	private long startedNanoseconds;

	private long startingMilliseconds;

	private long coldMilliseconds;

	private double coldFactor;

	BackendBehaviour(BackendConfiguration configuration, LongSupplier nanoseconds) {
		this.configuration = configuration;
		this.nanoseconds = nanoseconds;
		this.startingMilliseconds = configuration.startingMilliseconds();
		this.coldMilliseconds = configuration.coldMilliseconds();
		this.coldFactor = configuration.coldFactor();
		this.random = new SplittableRandom(configuration.seed());
		this.startedNanoseconds = nanoseconds.getAsLong();
	}

	synchronized BackendFaults faults() {
		return this.faults;
	}

	synchronized void faults(BackendFaults faults) {
		this.faults = faults;
	}

	synchronized void drain() {
		this.draining = true;
	}

	/**
	 * Starts again, as a new process would.
	 * @param change changes of {@code startingMilliseconds}, {@code coldMilliseconds} and
	 * {@code coldFactor}
	 */
	synchronized void restart(JsonNode change) {
		this.draining = false;
		this.startingMilliseconds = change.path("startingMilliseconds").asLong(this.startingMilliseconds);
		this.coldMilliseconds = change.path("coldMilliseconds").asLong(this.coldMilliseconds);
		this.coldFactor = change.path("coldFactor").asDouble(this.coldFactor);
		this.startedNanoseconds = this.nanoseconds.getAsLong();
	}

	synchronized String state() {
		if (this.draining) {
			return "draining";
		}
		return (ageMilliseconds() < this.startingMilliseconds) ? "starting" : "serving";
	}

	synchronized boolean shedsNext() {
		boolean shed = this.random.nextDouble() < this.faults.shedShare();
		return shed || this.draining || state().equals("starting");
	}

	synchronized boolean failsNext() {
		return this.random.nextDouble() < this.faults.errorShare();
	}

	synchronized long nextServiceMicroseconds() {
		double deviation = this.configuration.jitter() * (2 * this.random.nextDouble() - 1);
		double milliseconds = this.configuration.serviceMilliseconds() * (1 + deviation);
		return Math.round(1000 * milliseconds * this.faults.slowFactor() * coldFactorNow());
	}

	private double coldFactorNow() {
		double warmth = 1;
		if (this.coldMilliseconds > 0) {
			warmth = Math.min(1, (double) ageMilliseconds() / this.coldMilliseconds);
		}
		return this.coldFactor + (1 - this.coldFactor) * warmth;
	}

	private long ageMilliseconds() {
		return Duration.ofNanos(this.nanoseconds.getAsLong() - this.startedNanoseconds).toMillis();
	}

}
