package org.wasabicart.core.capacity;

import java.util.concurrent.TimeUnit;

/**
 * Finds the number of concurrent calls from which more calls only add time. Handles
 * servers that slow down before all of their slots are taken. A server that is slow at
 * any concurrency keeps its limit: fewer calls would not make it faster, and a service
 * whose servers are all slow would lose throughput.
 */
public final class LearnedLimit {

	/** Lowest limit, as a share of the slots. */
	private static final double MINIMUM_SHARE = 0.5;

	/** Width of a band of concurrency, as a share of the slots. */
	private static final double BAND_SHARE = 0.05;

	private static final int BANDS = (int) Math.round((1 - MINIMUM_SHARE) / BAND_SHARE);

	/** Calls in a band after which it is compared with others. */
	private static final int MINIMUM_CALLS = 100;

	/** Weight of the newest call; averages over about the last 400 calls. */
	private static final double WEIGHT = 0.005;

	/**
	 * Throughput by which a lower limit must be better. Exceeds the noise of the means of
	 * two bands, about 5%.
	 */
	private static final double MINIMUM_GAIN = 1.08;

	/**
	 * Slowdown of the whole server above which calls are left out: it hides the effect of
	 * concurrency.
	 */
	private static final double MAXIMUM_SLOWDOWN = 1.5;

	/** Time after which a band that is not used any more is tried again. */
	private static final long FORGET_TIME = TimeUnit.SECONDS.toNanos(30);

	private final double[] factors = new double[BANDS];

	private final int[] counts = new int[BANDS];

	private final long[] updated = new long[BANDS];

	/**
	 * Records the time of one call.
	 * @param usedShare calls that ran together with it, as a share of the slots
	 * @param factor the server's own time for the call divided by the usual one
	 * @param slowdown factor by which the whole server is slower than usual
	 * @param now current time in nanoseconds
	 */
	public void record(double usedShare, double factor, double slowdown, long now) {
		if (factor < 0 || slowdown > MAXIMUM_SLOWDOWN) {
			return;
		}
		int band = Math.max(0, Math.min(BANDS - 1, (int) ((usedShare - MINIMUM_SHARE) / BAND_SHARE)));
		if (now - this.updated[band] > FORGET_TIME) {
			this.counts[band] = 0;
		}
		this.updated[band] = now;
		this.counts[band]++;
		this.factors[band] += Math.max(WEIGHT, 1.0 / this.counts[band]) * (factor - this.factors[band]);
	}

	/**
	 * Returns the number of calls that the server runs well at the same time.
	 * @param slots slots that the server announces
	 * @param now current time in nanoseconds
	 * @return the limit, 1 to the number of slots
	 */
	public int limit(int slots, long now) {
		int best = BANDS - 1;
		for (int band = BANDS - 2; band >= 0; band--) {
			if (known(band, now) && known(best, now) && throughput(band) > MINIMUM_GAIN * throughput(best)) {
				best = band;
			}
			else if (!known(best, now)) {
				best = band;
			}
		}
		boolean reduced = false;
		for (int band = best + 1; band < BANDS; band++) {
			reduced |= known(band, now) && throughput(best) > MINIMUM_GAIN * throughput(band);
		}
		return reduced ? Math.max(1, (int) (upperEdge(best) * slots)) : Math.max(1, slots);
	}

	private boolean known(int band, long now) {
		return this.counts[band] >= MINIMUM_CALLS && now - this.updated[band] <= FORGET_TIME;
	}

	private double throughput(int band) {
		return upperEdge(band) / Math.max(1e-9, this.factors[band]);
	}

	private static double upperEdge(int band) {
		return MINIMUM_SHARE + (band + 1) * BAND_SHARE;
	}

}
