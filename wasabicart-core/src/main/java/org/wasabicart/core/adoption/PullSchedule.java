package org.wasabicart.core.adoption;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.Revision;

/**
 * Decides from which peer the node pulls a newer configuration. One pull is in flight at
 * a time, and a near peer is preferred. Not safe for use by several threads.
 */
public final class PullSchedule {

	/** Time for which a distant peer is not asked, since a near one may follow. */
	private static final long DISTANT_DELAY = Duration.ofMillis(1000).toNanos();

	private static final long RETRY_DELAY = Duration.ofMillis(200).toNanos();

	private static final int MAXIMUM_CANDIDATES = 8;

	private final ConfigurationAdoption adoption;

	private final Ticker ticker;

	private final Map<NodeAddress, Candidate> candidates = new HashMap<>();

	private boolean inFlight;

	private long nextPull;

	/**
	 * Creates a schedule.
	 * @param adoption revision in force
	 * @param ticker monotonic clock
	 */
	public PullSchedule(ConfigurationAdoption adoption, Ticker ticker) {
		this.adoption = Objects.requireNonNull(adoption, "adoption");
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.nextPull = ticker.nanoseconds();
	}

	/**
	 * A peer has a revision.
	 * @param peer advertised address
	 * @param revision its revision
	 * @param near whether it is in the same region
	 */
	public void seen(NodeAddress peer, Revision revision, boolean near) {
		Candidate known = this.candidates.get(peer);
		boolean room = known != null || this.candidates.size() < MAXIMUM_CANDIDATES;
		if (!room || !this.adoption.isNewer(revision)) {
			return;
		}
		long since = (known != null) ? known.since() : this.ticker.nanoseconds();
		this.candidates.put(peer, new Candidate(revision, near, since));
	}

	/**
	 * Decides whom to ask now, and counts the pull as in flight.
	 * @return peer, or empty if no pull is due
	 */
	public Optional<NodeAddress> next() {
		this.candidates.values().removeIf((candidate) -> !this.adoption.isNewer(candidate.revision()));
		long now = this.ticker.nanoseconds();
		if (this.inFlight || now - this.nextPull < 0) {
			return Optional.empty();
		}
		NodeAddress best = null;
		for (Map.Entry<NodeAddress, Candidate> entry : this.candidates.entrySet()) {
			if (isEligible(entry.getValue(), now) && (best == null || isBetter(entry.getValue(), best))) {
				best = entry.getKey();
			}
		}
		this.inFlight = best != null;
		return Optional.ofNullable(best);
	}

	private static boolean isEligible(Candidate candidate, long now) {
		return candidate.near() || now - candidate.since() >= DISTANT_DELAY;
	}

	private boolean isBetter(Candidate candidate, NodeAddress best) {
		Candidate other = this.candidates.get(best);
		if (candidate.near() != other.near()) {
			return candidate.near();
		}
		return candidate.revision().compareTo(other.revision()) > 0;
	}

	/**
	 * The pull in flight ended.
	 * @param peer peer that was asked
	 * @param progress whether it led to an adoption; a peer that did not help is dropped
	 * until it is seen again
	 */
	public void ended(NodeAddress peer, boolean progress) {
		this.inFlight = false;
		if (!progress) {
			this.candidates.remove(peer);
			this.nextPull = this.ticker.nanoseconds() + RETRY_DELAY;
		}
	}

	/**
	 * Peer with a newer revision.
	 *
	 * @param revision revision
	 * @param near whether it is in the same region
	 * @param since time at which it was first seen
	 */
	private record Candidate(Revision revision, boolean near, long since) {
	}

}
