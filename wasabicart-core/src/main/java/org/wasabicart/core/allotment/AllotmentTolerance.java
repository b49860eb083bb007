package org.wasabicart.core.allotment;

/**
 * Uses of the tolerance of the bound. In any 5 s at most (rate x 5 + burst) x 1.1 + 20
 * requests may run, which is 0.5 x rate + 0.1 x burst + 20 above the allotment. Of these,
 * 0.3 x rate are for a node that counts at two coordinators for 0.3 s.
 */
final class AllotmentTolerance {

	private static final double SHARE_OF_RATE = 0.1;

	private static final double SHARE_OF_BURST = 0.05;

	/**
	 * Requests of any workspace. Small workspaces have a burst of a few requests, and a
	 * random demand within the rate would often exceed it.
	 */
	private static final double CAPACITY_REQUESTS = 8;

	private static final double CREDIT_REQUESTS = 12;

	private AllotmentTolerance() {
	}

	/**
	 * Returns the capacity of the bucket of a workspace.
	 * @param allotment allotment
	 * @return the number of tokens
	 */
	static double capacity(Allotment allotment) {
		return allotment.burst() + SHARE_OF_RATE * allotment.requestsPerSecond() + SHARE_OF_BURST * allotment.burst()
				+ CAPACITY_REQUESTS;
	}

	/**
	 * Returns the requests that may run on credit beyond the bucket.
	 * @param allotment allotment
	 * @return the number of requests
	 */
	static double credit(Allotment allotment) {
		return SHARE_OF_RATE * allotment.requestsPerSecond() + SHARE_OF_BURST * allotment.burst() + CREDIT_REQUESTS;
	}

}
