package org.wasabicart.core.routing;

import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.Outcome;

/**
 * Result of choosing a member for a call.
 */
public sealed interface RouteDecision {

	/**
	 * A member was chosen.
	 *
	 * @param member member to call
	 * @param acrossRegions whether the call crosses the link between regions
	 */
	record Chosen(Member member, boolean acrossRegions) implements RouteDecision {

	}

	/**
	 * No member can take the call.
	 *
	 * @param refusal reason and retry hint
	 */
	record NotRouted(Outcome.Refused refusal) implements RouteDecision {

	}

}
