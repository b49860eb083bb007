package org.wasabicart.core.allotment;

/**
 * Decision on one request.
 *
 * @param basis what the decision is based on
 * @param session session in which the request was counted, 0 if in none
 * @param retryNanoseconds time after which the caller of a refused request should retry
 */
public record AllotmentDecision(Basis basis, long session, long retryNanoseconds) {

	/**
	 * Returns whether the request may run.
	 * @return whether it is admitted
	 */
	public boolean admitted() {
		return this.basis != Basis.REFUSED;
	}

	/**
	 * What a decision is based on.
	 */
	public enum Basis {

		/** The workspace has no limit. */
		UNLIMITED,

		/** A token of the coordinator. */
		TOKEN,

		/** A credit that is charged when it is reported. */
		CREDIT,

		/** The fixed share of a node without a coordinator. */
		FIXED_SHARE,

		/** The request must not run. */
		REFUSED

	}

}
