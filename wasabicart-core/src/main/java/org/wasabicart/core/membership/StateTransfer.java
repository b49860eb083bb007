package org.wasabicart.core.membership;

import org.wasabicart.core.model.NodeAddress;

/**
 * Page-by-page copy of a peer's members, used to join and after large differences.
 */
final class StateTransfer {

	static final int MAXIMUM_ATTEMPTS = 3;

	private NodeAddress source;

	private String cursor = "";

	private long sequence;

	private long deadline;

	private int attempts;

	boolean isActive() {
		return this.source != null;
	}

	void start(NodeAddress newSource) {
		this.source = newSource;
		this.cursor = "";
		this.attempts = 0;
	}

	void sent(long newSequence, long newDeadline) {
		this.sequence = newSequence;
		this.deadline = newDeadline;
		this.attempts++;
	}

	boolean expects(long answered) {
		return isActive() && answered == this.sequence;
	}

	void advance(String next) {
		this.cursor = next;
		this.attempts = 0;
		if (next.isEmpty()) {
			stop();
		}
	}

	void stop() {
		this.source = null;
	}

	boolean isDue(long now) {
		return isActive() && now - this.deadline >= 0;
	}

	boolean isExhausted() {
		return this.attempts >= MAXIMUM_ATTEMPTS;
	}

	NodeAddress source() {
		return this.source;
	}

	String cursor() {
		return this.cursor;
	}

}
