package org.wasabicart.standin.backend;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Random and time-dependent behaviour of a backend server: service time jitter, cold
 * start, state and injected faults.
 */
final class BackendBehaviour {

	private final BackendConfiguration configuration;

	private final LongSupplier nanoClock;

	private final SplittableRandom random;

	private BackendFaults faults = BackendFaults.NONE;

	private boolean draining;

	private long startedNanoseconds;

	private long startingMilliseconds;

	private long coldMilliseconds;

	private double coldFactor;

	BackendBehaviour(BackendConfiguration configuration, LongSupplier nanoClock) {
		this.configuration = configuration;
		this.nanoClock = nanoClock;
		this.startingMilliseconds = configuration.startingMilliseconds();
		this.coldMilliseconds = configuration.coldMilliseconds();
		this.coldFactor = configuration.coldFactor();
		this.random = new SplittableRandom(configuration.seed());
		this.startedNanoseconds = nanoClock.getAsLong();
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
	 * Simulates a restart of the process: ends draining and begins the starting and cold
	 * phases again.
	 * @param change new values of {@code startingMilliseconds}, {@code coldMilliseconds}
	 * and {@code coldFactor}; an absent value is kept
	 */
	synchronized void restart(JsonNode change) {
		this.draining = false;
		this.startingMilliseconds = change.path("startingMilliseconds").asLong(this.startingMilliseconds);
		this.coldMilliseconds = change.path("coldMilliseconds").asLong(this.coldMilliseconds);
		this.coldFactor = change.path("coldFactor").asDouble(this.coldFactor);
		this.startedNanoseconds = this.nanoClock.getAsLong();
	}

	synchronized String state() {
		if (this.draining) {
			return "draining";
		}
		return (uptimeMilliseconds() < this.startingMilliseconds) ? "starting" : "serving";
	}

	synchronized boolean shouldShedNext() {
		boolean shed = this.random.nextDouble() < this.faults.shedShare();
		return shed || this.draining || state().equals("starting");
	}

	synchronized boolean shouldFailNext() {
		return this.random.nextDouble() < this.faults.errorShare();
	}

	synchronized long nextServiceMicroseconds() {
		double deviation = this.configuration.jitter() * (2 * this.random.nextDouble() - 1);
		double milliseconds = this.configuration.serviceMilliseconds() * (1 + deviation);
		return Math.round(1000 * milliseconds * this.faults.slowFactor() * currentColdFactor());
	}

	private double currentColdFactor() {
		double warmUpProgress = 1;
		if (this.coldMilliseconds > 0) {
			warmUpProgress = Math.min(1, (double) uptimeMilliseconds() / this.coldMilliseconds);
		}
		return this.coldFactor + (1 - this.coldFactor) * warmUpProgress;
	}

	private long uptimeMilliseconds() {
		return Duration.ofNanos(this.nanoClock.getAsLong() - this.startedNanoseconds).toMillis();
	}

}
