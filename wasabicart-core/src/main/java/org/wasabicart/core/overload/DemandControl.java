package org.wasabicart.core.overload;

import java.util.concurrent.TimeUnit;

/**
 * Fits the demand at one gate to its capacity by the share of the requests that entries
 * should admit. Handles demand beyond the capacity of a service, also of one deep in the
 * call graph, whose calls arrive some time after their requests were admitted. The effect
 * of recent changes that is not observed yet is predicted, since a controller without
 * prediction would have to be slower than that delay or oscillate.
 */
final class DemandControl {

	/** Shortest time between two changes of the share. */
	static final long INTERVAL = TimeUnit.MILLISECONDS.toNanos(50);

	/** Highest set point of the demand as a share of the capacity. */
	private static final double MAXIMUM_TARGET = 0.97;

	/** Lowest set point, which also few slots can sustain, since some calls wait. */
	private static final double MINIMUM_TARGET = 0.88;

	/**
	 * Room for the variation of the demand, divided by the square root of the slots: the
	 * fewer slots, the more the demand varies in relation to them.
	 */
	private static final double VARIATION_ROOM = 0.45;

	/** Highest observed demand as a share of the capacity, which limits one change. */
	private static final double MAXIMUM_DEMAND = 4;

	/** Time in seconds over which the demand is averaged. */
	private static final double DEMAND_TIME = 0.2;

	/** Time in seconds in which calls that wait beyond the set point are to be served. */
	private static final double DRAIN_TIME = 0.5;

	/**
	 * Each of two first-order lags in seconds between a change of the share and its
	 * effect: report, own work of the request, and calls that are spread over it.
	 */
	private static final double EFFECT_LAG = 1;

	/** Reduction of the share in a second if all of the demand is too much. */
	private static final double GAIN = 0.8;

	/**
	 * Factor of the gain while far too much is admitted: requests that are admitted then
	 * are lost, and the calls that wait delay all others.
	 */
	private static final double STEP_FACTOR = 3;

	/** Excess of the demand, as a share of the capacity, from which the factor holds. */
	private static final double STEP_EXCESS = 0.5;

	/** Increase of the share in a second if all of the capacity is free. */
	private static final double RELEASE_GAIN = 0.7;

	/**
	 * Speed at which the gates of a service agree, in 1/s. Gates whose demand is equal
	 * would otherwise drift apart.
	 */
	private static final double AGREEMENT = 1;

	/** Smallest admitted share for which the demand before admission is computed. */
	private static final double MINIMUM_ADMITTED = 0.3;

	/** Highest demand before admission that is assumed, as a share of the capacity. */
	private static final double MAXIMUM_TOTAL_DEMAND = 3;

	private double withheld;

	private double firstLag;

	private double effective;

	private double demand;

	private int offered;

	private boolean roomMissing;

	private long updated;

	private boolean started;

	/**
	 * Records a call that was sent to the gate, whether it is admitted or not.
	 * @param roomFound whether it can run at once
	 */
	void offered(boolean roomFound) {
		this.offered++;
		this.roomMissing |= !roomFound;
	}

	/**
	 * Changes the share if the interval is over.
	 * @param slots calls that the server can run at the same time
	 * @param capacity calls per second that the server can run
	 * @param waiting calls that wait for the server
	 * @param serviceAdmissibleShare share that the gates of the service report on average
	 * @param now current time in nanoseconds
	 * @return whether the interval was over
	 */
	boolean update(int slots, double capacity, int waiting, double serviceAdmissibleShare, long now) {
		if (!this.started) {
			this.started = true;
			this.updated = now;
			this.offered = 0;
		}
		if (now - this.updated < INTERVAL) {
			return false;
		}
		double seconds = (now - this.updated) / 1e9;
		observe(capacity, waiting, seconds);
		double totalDemand = Math.max(1,
				Math.min(MAXIMUM_TOTAL_DEMAND, this.demand / Math.max(MINIMUM_ADMITTED, 1 - this.effective)));
		double expected = this.demand - totalDemand * (this.withheld - this.effective);
		double excess = expected - target(slots);
		double change = gain(excess) * excess / totalDemand;
		if (change > 0 && !this.roomMissing) {
			change = 0;
		}
		change += AGREEMENT * (1 - serviceAdmissibleShare - this.withheld);
		// A process that was suspended must not make one large change.
		this.withheld = Math.max(0, Math.min(1, this.withheld + change * Math.min(seconds, DEMAND_TIME)));
		this.roomMissing = false;
		this.updated = now;
		return true;
	}

	private static double gain(double excess) {
		return (excess < 0) ? RELEASE_GAIN : GAIN * (1 + (STEP_FACTOR - 1) * Math.min(1, excess / STEP_EXCESS));
	}

	private static double target(int slots) {
		return Math.max(MINIMUM_TARGET, Math.min(MAXIMUM_TARGET, 1 - VARIATION_ROOM / Math.sqrt(slots)));
	}

	private void observe(double capacity, int waiting, double seconds) {
		double rate = this.offered / seconds + waiting / DRAIN_TIME;
		double observed = Math.min(MAXIMUM_DEMAND, rate / Math.max(capacity, Double.MIN_NORMAL));
		this.demand += (1 - Math.exp(-seconds / DEMAND_TIME)) * (observed - this.demand);
		this.offered = 0;
		double weight = 1 - Math.exp(-seconds / EFFECT_LAG);
		this.firstLag += weight * (this.withheld - this.firstLag);
		this.effective += weight * (this.firstLag - this.effective);
	}

	double admissibleShare() {
		return 1 - this.withheld;
	}

	/**
	 * Returns the recent demand.
	 * @return the demand as a share of the capacity
	 */
	double demand() {
		return this.demand;
	}

}
