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
 * Decides from which peer the node pulls a newer configuration. At most one pull is in
 * flight, and peers of the same region are preferred. Not thread-safe.
 */
public final class PullSchedule {

	/**
	 * Delay before a pull from another region, in which a peer of the same region may get
	 * the revision.
	 */
	private static final long OTHER_REGION_DELAY = Duration.ofMillis(1000).toNanos();

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
	 * Records that a peer has a revision.
	 * @param peer advertised address
	 * @param revision its revision
	 * @param sameRegion whether it is in the region of the node
	 */
	public void recordRevision(NodeAddress peer, Revision revision, boolean sameRegion) {
		Candidate known = this.candidates.get(peer);
		boolean hasCapacity = known != null || this.candidates.size() < MAXIMUM_CANDIDATES;
		if (!hasCapacity || !this.adoption.isNewer(revision)) {
			return;
		}
		long since = (known != null) ? known.since() : this.ticker.nanoseconds();
		this.candidates.put(peer, new Candidate(revision, sameRegion, since));
	}

	/**
	 * Chooses the peer to pull from now, and counts the pull as in flight.
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
		return candidate.sameRegion() || now - candidate.since() >= OTHER_REGION_DELAY;
	}

	private boolean isBetter(Candidate candidate, NodeAddress best) {
		Candidate other = this.candidates.get(best);
		if (candidate.sameRegion() != other.sameRegion()) {
			return candidate.sameRegion();
		}
		return candidate.revision().compareTo(other.revision()) > 0;
	}

	/**
	 * Records that the pull in flight has ended.
	 * @param peer peer that was pulled from
	 * @param adopted whether a revision was adopted; otherwise the peer is dropped until
	 * {@link #recordRevision} is called for it again
	 */
	public void ended(NodeAddress peer, boolean adopted) {
		this.inFlight = false;
		if (!adopted) {
			this.candidates.remove(peer);
			this.nextPull = this.ticker.nanoseconds() + RETRY_DELAY;
		}
	}

	/**
	 * Peer with a newer revision.
	 *
	 * @param revision revision
	 * @param sameRegion whether it is in the region of the node
	 * @param since time at which it was first recorded
	 */
	private record Candidate(Revision revision, boolean sameRegion, long since) {
	}

}
