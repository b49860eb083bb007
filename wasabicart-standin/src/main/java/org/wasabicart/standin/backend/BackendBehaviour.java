package org.wasabicart.standin.backend;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

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

	BackendBehaviour(BackendConfiguration configuration, LongSupplier nanoseconds) {
		this.configuration = configuration;
		this.nanoseconds = nanoseconds;
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

	synchronized void restart() {
		this.draining = false;
		this.startedNanoseconds = this.nanoseconds.getAsLong();
	}

	synchronized String state() {
		if (this.draining) {
			return "draining";
		}
		return (ageMilliseconds() < this.configuration.startingMilliseconds()) ? "starting" : "serving";
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
		return Math.round(1000 * milliseconds * this.faults.slowFactor() * coldFactor());
	}

	private double coldFactor() {
		long cold = this.configuration.coldMilliseconds();
		double warmth = (cold > 0) ? Math.min(1, (double) ageMilliseconds() / cold) : 1;
		return this.configuration.coldFactor() + (1 - this.configuration.coldFactor()) * warmth;
	}

	private long ageMilliseconds() {
		return Duration.ofNanos(this.nanoseconds.getAsLong() - this.startedNanoseconds).toMillis();
	}

}
