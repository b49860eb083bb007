package org.wasabicart.node.observe;

import org.wasabicart.core.model.Outcome;

/**
 * Names of outcomes in metrics and logs.
 */
final class OutcomeText {

	private OutcomeText() {
	}

	static String name(Outcome outcome) {
		if (outcome instanceof Outcome.Completed) {
			return "completed";
		}
		if (outcome instanceof Outcome.Refused) {
			return "refused";
		}
		return (outcome instanceof Outcome.Failed) ? "failed" : "unknown";
	}

	static String reason(Outcome outcome) {
		if (outcome instanceof Outcome.Refused refused) {
			return refused.reason().code();
		}
		if (outcome instanceof Outcome.Failed failed) {
			return failed.reason().code();
		}
		return (outcome instanceof Outcome.Unknown unknown) ? unknown.reason().code() : "";
	}

}
