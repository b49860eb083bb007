package org.wasabicart.core.allotment;

import java.util.List;

/**
 * Report of one node to its coordinator.
 *
 * @param sequence number of the report, which rises while the node runs
 * @param session number of the first report of the session with this coordinator
 * @param acknowledged number of the last report whose grant the node has used, 0 if none
 * in this session
 * @param counted whether the node counts for the share of this coordinator
 * @param leaving whether the node ends the session
 * @param demands demand of the workspaces whose state has changed
 * @param handover tokens that are left at the sender, which coordinated before
 */
public record AllotmentReport(long sequence, long session, long acknowledged, boolean counted, boolean leaving,
		List<AllotmentDemand> demands, List<AllotmentTokens> handover) {

	/** Largest number of workspaces in one message; the others follow in the next one. */
	public static final int MAXIMUM_DEMANDS = 256;

	public AllotmentReport {
		demands = List.copyOf(demands);
		handover = List.copyOf(handover);
		if (sequence < 1 || session < 1 || session > sequence || acknowledged < 0 || acknowledged >= sequence) {
			throw new IllegalArgumentException(
					"Report is out of order: " + sequence + ", " + session + ", " + acknowledged);
		}
	}

	/**
	 * Returns a copy of this report with the tokens that are left at the sender.
	 * @param tokens tokens by workspace
	 * @return the copy
	 */
	public AllotmentReport withHandover(List<AllotmentTokens> tokens) {
		return new AllotmentReport(this.sequence, this.session, this.acknowledged, this.counted, this.leaving,
				this.demands, tokens);
	}

}
