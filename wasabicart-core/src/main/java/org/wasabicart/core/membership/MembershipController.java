package org.wasabicart.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.Revision;

/**
 * Membership protocol of the local node, in the manner of SWIM: keeps the view of the
 * members and decides which messages to send. Not thread-safe. The caller invokes
 * {@link #tick()} every {@link MembershipSettings#TICK_INTERVAL} and sends the returned
 * messages, which can be lost, delayed, duplicated and reordered.
 * <p>
 * Example: <pre>
 * controller.tick().forEach((outgoing) -> send(outgoing));
 * </pre>
 */
public final class MembershipController {

	private static final int GOSSIP_FANOUT = 3;

	/** Transmissions of an update beyond the logarithm of the number of members. */
	private static final int EXTRA_TRANSMISSIONS = 4;

	private final MembershipSettings settings;

	private final Ticker ticker;

	private final RandomGenerator random;

	private final MemberTable table = new MemberTable();

	private final GossipQueue queue = new GossipQueue();

	private final PeerDirectory directory = new PeerDirectory();

	private final MessageComposer composer;

	private final LocalHealth health;

	private final Prober prober;

	private final ViewSynchronizer synchronizer;

	private Member local;

	private long incarnation = 1;

	private long nextGossip;

	private int revisionTransmissions;

	private boolean left;

	/**
	 * Creates a controller that knows only the local node.
	 * @param settings intervals and timeouts
	 * @param local record of the local node
	 * @param seeds advertised addresses through which the node joins
	 * @param ticker monotonic clock
	 * @param random random source
	 */
	public MembershipController(MembershipSettings settings, Member local, Collection<NodeAddress> seeds, Ticker ticker,
			RandomGenerator random) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.local = Objects.requireNonNull(local, "local");
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.random = Objects.requireNonNull(random, "random");
		long now = ticker.nanoseconds();
		this.composer = new MessageComposer(this.table, this.queue);
		this.composer.setLocal(local);
		this.health = new LocalHealth(now);
		this.prober = new Prober(settings, this.table, this.directory, this.composer, this.health, random);
		this.synchronizer = new ViewSynchronizer(settings, this.table, this.directory, this.composer, random);
		this.synchronizer.setContacts(seeds);
		this.nextGossip = now;
		publishLocal(now);
	}

	/**
	 * Runs the steps of the protocol that are due.
	 * @return messages to send
	 */
	public List<OutgoingMessage> tick() {
		long now = this.ticker.nanoseconds();
		List<OutgoingMessage> out = new ArrayList<>();
		long pause = this.health.tick(now);
		if (this.left) {
			return out;
		}
		if (pause > 0) {
			this.prober.resumeAfterPause(pause);
		}
		this.directory.refresh(this.table, this.local);
		this.prober.tick(now, out, (update) -> disseminate(update, now));
		this.synchronizer.tick(now, this.local.id(), out);
		gossip(now, out);
		return out;
	}

	/**
	 * Processes a message.
	 * @param message message
	 * @return messages to send
	 */
	public List<OutgoingMessage> received(PeerMessage message) {
		List<OutgoingMessage> out = new ArrayList<>();
		if (this.left || message.sender().id().equals(this.local.id())) {
			return out;
		}
		long now = this.ticker.nanoseconds();
		this.health.received(now);
		boolean refuted = false;
		for (MemberUpdate update : message.updates()) {
			refuted |= apply(update, now);
		}
		if (refuted) {
			out.add(this.composer.gossipTo(message.sender().address(), List.of(ownAnnouncement())));
		}
		updateRevisionOf(message.sender());
		this.directory.refresh(this.table, this.local);
		this.prober.received(message, now, out);
		this.synchronizer.received(message, now, out);
		return out;
	}

	/**
	 * Replaces the record of the local node. A change of the revision alone is not
	 * disseminated as an announcement, since each message carries the sender's revision.
	 * @param member record with the same id, instance and address
	 */
	public void announce(Member member) {
		if (!member.id().equals(this.local.id()) || !member.instance().equals(this.local.instance())) {
			throw new IllegalArgumentException("id and instance must be those of the local node: " + member.id());
		}
		if (member.equals(this.local)) {
			return;
		}
		boolean revisionOnly = withRevision(member, this.local.revision()).equals(this.local);
		this.local = member;
		this.composer.setLocal(member);
		long now = this.ticker.nanoseconds();
		if (revisionOnly) {
			this.table.replaceMember(this.table.find(member.id()), member);
			this.revisionTransmissions = transmissions();
			return;
		}
		this.incarnation++;
		publishLocal(now);
	}

	/**
	 * Leaves the deployment. The controller sends nothing afterwards.
	 * @return messages to send
	 */
	public List<OutgoingMessage> leave() {
		List<OutgoingMessage> out = new ArrayList<>();
		this.directory.refresh(this.table, this.local);
		this.left = true;
		MemberUpdate removal = this.table.find(this.local.id()).removal();
		for (int sent = 0; sent < transmissions(); sent++) {
			MemberEntry receiver = this.directory.randomReceiver(this.random);
			if (receiver != null) {
				out.add(this.composer.gossipTo(receiver.member.address(), List.of(removal)));
			}
		}
		return out;
	}

	/**
	 * Sets the addresses through which the node joins, or finds the other nodes after a
	 * partition. They replace the seeds and the addresses of an earlier call.
	 * @param addresses advertised addresses
	 */
	public void setContacts(Collection<NodeAddress> addresses) {
		this.synchronizer.setContacts(addresses);
	}

	/**
	 * Returns the members, including the local node.
	 * @return members in the order of their ids
	 */
	public List<Member> members() {
		return this.table.members();
	}

	/**
	 * Returns a number that changes with each change of a member other than its revision.
	 * @return version of the view
	 */
	public long viewVersion() {
		return this.table.viewVersion();
	}

	/**
	 * Returns a number that changes with each change of a member.
	 * @return version of the records
	 */
	public long recordVersion() {
		return this.table.recordVersion();
	}

	/**
	 * Returns a digest that is equal on nodes with equal views.
	 * @return digest
	 */
	public long digest() {
		return this.table.digest();
	}

	// Returns whether the update suspected or removed the local node and was refuted.
	private boolean apply(MemberUpdate update, long now) {
		if (update.id().equals(this.local.id())) {
			return refute(update, now);
		}
		if (this.table.apply(update, now) != MemberTable.Effect.NONE) {
			this.synchronizer.viewChanged(now);
			this.queue.add(update, transmissions(), now);
		}
		else {
			this.queue.countDuplicate(update);
		}
		return false;
	}

	private boolean refute(MemberUpdate update, long now) {
		if (!update.instance().equals(this.local.instance()) || update.incarnation() < this.incarnation
				|| update instanceof MemberUpdate.Announced) {
			return false;
		}
		this.incarnation = update.incarnation() + 1;
		publishLocal(now);
		return true;
	}

	private void publishLocal(long now) {
		disseminate(ownAnnouncement(), now);
	}

	private MemberUpdate.Announced ownAnnouncement() {
		return new MemberUpdate.Announced(this.local, this.incarnation);
	}

	private void disseminate(MemberUpdate update, long now) {
		this.table.apply(update, now);
		this.synchronizer.viewChanged(now);
		this.queue.add(update, transmissions(), now);
	}

	private void updateRevisionOf(PeerIdentity sender) {
		MemberEntry entry = this.table.find(sender.id());
		if (entry != null && entry.instance().equals(sender.instance())
				&& sender.revision().compareTo(entry.member.revision()) > 0) {
			this.table.replaceMember(entry, withRevision(entry.member, sender.revision()));
		}
	}

	private void gossip(long now, List<OutgoingMessage> out) {
		if (now - this.nextGossip < 0 || (this.queue.isEmpty() && this.revisionTransmissions <= 0)) {
			return;
		}
		this.nextGossip = now + this.settings.gossipInterval().toNanos();
		List<MemberEntry> receivers = new ArrayList<>();
		for (int attempt = 0; attempt < GOSSIP_FANOUT; attempt++) {
			MemberEntry receiver = this.directory.randomReceiver(this.random);
			if (receiver != null && !receivers.contains(receiver)) {
				receivers.add(receiver);
			}
		}
		if (receivers.isEmpty()) {
			return;
		}
		this.revisionTransmissions -= receivers.size();
		List<MemberUpdate> updates = this.queue.take(this.composer.spaceForUpdates(0), receivers.size(), now);
		for (MemberEntry receiver : receivers) {
			out.add(this.composer.gossipTo(receiver.member.address(), updates));
		}
	}

	// Number of times that each node sends an update, which grows with the logarithm of
	// the number of members.
	private int transmissions() {
		return Integer.SIZE - Integer.numberOfLeadingZeros(this.table.size()) + EXTRA_TRANSMISSIONS;
	}

	private static Member withRevision(Member member, Revision revision) {
		return new Member(member.id(), member.instance(), member.service(), member.failureDomain(), member.region(),
				member.address(), member.state(), member.slots(), revision);
	}

	/**
	 * Returns the interval at which the controller expects ticks.
	 * @return interval
	 */
	public static Duration tickInterval() {
		return MembershipSettings.TICK_INTERVAL;
	}

}
