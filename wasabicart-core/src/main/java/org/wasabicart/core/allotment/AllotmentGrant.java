package org.wasabicart.core.allotment;

import java.util.List;

/**
 * Answer of a coordinator to a report, or a notice that names no report.
 *
 * @param sequence number of the report, 0 for a notice
 * @param stopping whether the coordinator stops and lends no more
 * @param tokens tokens and credits by workspace
 */
public record AllotmentGrant(long sequence, boolean stopping, List<AllotmentTokens> tokens) {

	public AllotmentGrant {
		tokens = List.copyOf(tokens);
		if (sequence < 0) {
			throw new IllegalArgumentException("Sequence is negative: " + sequence);
		}
	}

	/**
	 * Returns whether this is a notice.
	 * @return whether it answers no report
	 */
	public boolean notice() {
		return this.sequence == 0;
	}

}
