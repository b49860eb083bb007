package org.wasabicart.core.membership;

import org.wasabicart.core.model.NodeAddress;

/**
 * Copy of a peer's members in pages, used to join and to resolve large differences.
 */
final class StateTransfer {

	static final int MAXIMUM_ATTEMPTS_PER_PAGE = 3;

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

	void requestSent(long newSequence, long newDeadline) {
		this.sequence = newSequence;
		this.deadline = newDeadline;
		this.attempts++;
	}

	boolean expects(long answered) {
		return isActive() && answered == this.sequence;
	}

	void advance(String nextCursor) {
		this.cursor = nextCursor;
		this.attempts = 0;
		if (nextCursor.isEmpty()) {
			stop();
		}
	}

	void stop() {
		this.source = null;
	}

	boolean isTimedOut(long now) {
		return isActive() && now - this.deadline >= 0;
	}

	boolean hasNoAttemptsLeft() {
		return this.attempts >= MAXIMUM_ATTEMPTS_PER_PAGE;
	}

	NodeAddress source() {
		return this.source;
	}

	String cursor() {
		return this.cursor;
	}

}
