package org.wasabicart.mesh.allotment;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;

import org.wasabicart.core.allotment.Allotment;
import org.wasabicart.core.allotment.AllotmentClient;
import org.wasabicart.core.allotment.AllotmentCoordinator;
import org.wasabicart.core.allotment.AllotmentDecision;
import org.wasabicart.core.allotment.AllotmentGrant;
import org.wasabicart.core.allotment.AllotmentReport;
import org.wasabicart.core.allotment.AllotmentTokens;
import org.wasabicart.core.allotment.CoordinatorChoice;
import org.wasabicart.core.allotment.FleetSize;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.workspace.WorkspaceName;
import org.wasabicart.wire.generated.mesh.MeshAllotmentGrant;
import org.wasabicart.wire.generated.mesh.MeshAllotmentReport;

/**
 * The part of one node in the allotments: follows a coordinator, reports to it, and
 * coordinates other nodes if they report to this one.
 */
public final class FleetAllotments implements AllotmentReports {

	private static final Logger logger = Logger.getLogger(FleetAllotments.class);

	/** Interval of {@link #tick(long)} while a workspace is limited. */
	public static final long TICK_MILLISECONDS = 20;

	/** Interval at which the coordinator is chosen. */
	private static final long CHOICE_INTERVAL = TimeUnit.MILLISECONDS.toNanos(100);

	/** Time without an answer after which the link to the coordinator is checked. */
	private static final long PING_DELAY = TimeUnit.MILLISECONDS.toNanos(300);

	/** Time without an answer after which another coordinator is chosen. */
	private static final long SILENCE = TimeUnit.MILLISECONDS.toNanos(900);

	/** Time for which a node that did not answer is not chosen. */
	private static final long SILENT_NODE_AVOIDANCE = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Time for which a node that is no longer known still counts, unless it has said that
	 * it stops. A part of the fleet that is cut off from the others and from the store
	 * keeps its share meanwhile, and the others do not lend it.
	 */
	private static final long LAPSED_NODE_TIME = TimeUnit.SECONDS.toNanos(30);

	/** Least share of the fleet that follows a node which records the size. */
	private static final double RECORDING_SHARE = 0.5;

	private final NodeId self;

	private final Supplier<? extends Collection<? extends FleetLink>> links;

	private final LongSupplier clock;

	private final AllotmentClient client;

	private final AllotmentCoordinator<Object> coordinator = new AllotmentCoordinator<>();

	private final Map<Object, Consumer<MeshAllotmentGrant>> senders = new HashMap<>();

	private final Map<NodeId, Member> members = new HashMap<>();

	private final FleetSize fleetSize = new FleetSize();

	private Set<WorkspaceName> limited = Set.of();

	private FleetLink followed;

	private Object followedConnection;

	private boolean followsSelf;

	/** Tokens for the next coordinator, if this node was the previous one. */
	private List<AllotmentTokens> handover = List.of();

	private boolean stopping;

	private long lastChoice;

	private boolean chosen;

	/** Time of the first report without an answer. */
	private long unansweredSince;

	private boolean unanswered;

	/**
	 * Creates the part of one node.
	 * @param self this node
	 * @param links provides the links to the other known nodes
	 * @param random random source
	 * @param clock provides the current time in nanoseconds
	 */
	public FleetAllotments(NodeId self, Supplier<? extends Collection<? extends FleetLink>> links,
			RandomGenerator random, LongSupplier clock) {
		this.self = Objects.requireNonNull(self, "self");
		this.links = Objects.requireNonNull(links, "links");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.client = new AllotmentClient(random, clock.getAsLong());
		this.client.members(FleetSize.UNKNOWN);
	}

	/**
	 * Replaces the allotments.
	 * @param allotments allotments of all workspaces
	 */
	public void configure(Map<WorkspaceName, Allotment> allotments) {
		Map<WorkspaceName, Allotment> limited = new HashMap<>(allotments);
		limited.values().removeIf((allotment) -> !allotment.limited());
		this.limited = Set.copyOf(limited.keySet());
		long now = this.clock.getAsLong();
		this.client.configure(limited, now);
		this.coordinator.configure(limited, now);
		if (this.followed != null) {
			this.coordinator.discardHandedOver();
		}
		this.chosen = false;
		if (!active()) {
			this.unanswered = false;
		}
	}

	/**
	 * Returns whether any workspace is limited. Otherwise {@link #tick(long)} need not be
	 * called.
	 * @return whether nodes report
	 */
	public boolean active() {
		return this.client.active();
	}

	/**
	 * Decides on a request and counts it if it is admitted.
	 * @param workspace workspace of the request
	 * @param callerRemaining time in nanoseconds until the caller's deadline
	 * @param now current time in nanoseconds
	 * @return the decision
	 */
	public AllotmentPermit admit(WorkspaceName workspace, long callerRemaining, long now) {
		AllotmentDecision decision = this.client.admit(workspace, callerRemaining, now);
		reportIfDue(now);
		return new AllotmentPermit(this, workspace, decision);
	}

	void returned(WorkspaceName workspace, AllotmentDecision decision) {
		this.client.returned(workspace, decision);
	}

	/**
	 * Sends what is due and checks the coordinator.
	 * @param now current time in nanoseconds
	 */
	public void tick(long now) {
		if (!active()) {
			return;
		}
		if (!this.fleetSize.known(now)) {
			return;
		}
		if (!this.chosen || now - this.lastChoice >= CHOICE_INTERVAL) {
			this.chosen = true;
			this.lastChoice = now;
			updateMembers(now);
			checkFollowed(now);
			follow(now);
		}
		reportIfDue(now);
		sendNotices(now);
	}

	private void updateMembers(long now) {
		for (FleetLink link : this.links.get()) {
			this.members.computeIfAbsent(link.node(), Member::new).seen(link, now);
		}
		this.members.values()
			.removeIf((member) -> member.lastSeen != now
					&& (member.stopping || now - member.lastSeen > LAPSED_NODE_TIME));
		int divisor = this.fleetSize.divisor(this.members.size() + 1, now);
		this.client.members(divisor);
		this.coordinator.members(divisor);
	}

	/**
	 * Processes a list of the nodes.
	 * @param recorded number of nodes that is recorded, if any
	 */
	public void fleetListed(OptionalInt recorded) {
		this.fleetSize.listed(recorded, this.clock.getAsLong());
		this.chosen = false;
	}

	/**
	 * Processes a change of the recorded number of nodes.
	 * @param recorded number of nodes, or empty if there is no record
	 */
	public void fleetSizeRecorded(OptionalInt recorded) {
		this.fleetSize.recorded(recorded);
	}

	/**
	 * Returns the number of nodes that this one should record, since it coordinates.
	 * @param now current time in nanoseconds
	 * @return the number, or empty if nothing should be written
	 */
	OptionalInt fleetSizeToRecord(long now) {
		boolean coordinates = active() && this.followsSelf && this.coordinator.share() >= RECORDING_SHARE;
		return coordinates ? this.fleetSize.sizeToRecord(this.members.size() + 1, now) : OptionalInt.empty();
	}

	private void checkFollowed(long now) {
		if (this.followed == null || !this.unanswered) {
			return;
		}
		long silence = now - this.unansweredSince;
		if (silence > SILENCE) {
			Member member = this.members.get(this.followed.node());
			if (member != null) {
				member.avoid(now + SILENT_NODE_AVOIDANCE);
			}
		}
		else if (silence > PING_DELAY) {
			this.followed.ping();
		}
	}

	private void follow(long now) {
		FleetLink best = null;
		long bestWeight = CoordinatorChoice.weight(this.self);
		boolean selfAllowed = !this.stopping;
		for (FleetLink link : this.links.get()) {
			Member member = this.members.get(link.node());
			if (link.reachable() && !link.stopping() && !member.avoided(now)
					&& (best == null && !selfAllowed || member.weight > bestWeight)) {
				best = link;
				bestWeight = member.weight;
			}
		}
		if (best != null && (best != this.followed || best.connection() != this.followedConnection)) {
			start(best, best.node(), now);
		}
		else if (best == null && !this.followsSelf) {
			start(null, this.self, now);
		}
	}

	private void start(FleetLink link, NodeId node, long now) {
		boolean wasCoordinator = this.followsSelf;
		FleetLink previous = (this.followed != null && this.followed.connection() == this.followedConnection)
				? this.followed : null;
		AllotmentReport lastReport = (wasCoordinator || previous != null) ? this.client.lastReport(now) : null;
		logger.infof("event=allotment-coordinator node=%s previous=%s members=%d", node,
				coordinatorNode().map(NodeId::value).orElse(""), this.members.size() + 1);
		this.followsSelf = link == null;
		this.followed = link;
		this.followedConnection = (link != null) ? link.connection() : null;
		this.unanswered = false;
		this.handover = (link != null) ? this.coordinator.handOver() : List.of();
		this.client.startSession(now);
		if (wasCoordinator) {
			this.coordinator.report(this, lastReport, now).ifPresent((grant) -> this.client.granted(grant, now));
		}
		else if (previous != null) {
			previous.send(AllotmentMessages.toMessage(lastReport));
		}
	}

	/**
	 * Returns the coordinator that this node follows.
	 * @return the node, or empty before the first choice
	 */
	public Optional<NodeId> coordinatorNode() {
		if (this.followsSelf) {
			return Optional.of(this.self);
		}
		return Optional.ofNullable(this.followed).map(FleetLink::node);
	}

	/**
	 * Passes on what this node knows about the allotments.
	 * @param observer receives the state of each limited workspace
	 * @param now current time in nanoseconds
	 */
	public void observe(AllotmentObserver observer, long now) {
		if (!active()) {
			return;
		}
		observer.coordination(coordinatorNode(), this.followsSelf ? this.coordinator.share() : 0);
		for (WorkspaceName workspace : this.limited) {
			observer.workspace(workspace, this.client.tokens(workspace, now), this.client.credit(workspace, now),
					this.followsSelf ? this.coordinator.left(workspace) : 0);
		}
	}

	private void reportIfDue(long now) {
		if (!this.client.reportDue(now)) {
			return;
		}
		AllotmentReport report = this.client.report(now);
		if (this.followsSelf) {
			this.coordinator.report(this, report, now).ifPresent((grant) -> this.client.granted(grant, now));
			return;
		}
		if (!this.unanswered) {
			this.unanswered = true;
			this.unansweredSince = now;
		}
		this.followed.send(AllotmentMessages.toMessage(report.withHandover(this.handover)));
		this.handover = List.of();
	}

	private void sendNotices(long now) {
		this.coordinator.notices(now).forEach((connection, grant) -> {
			if (connection == this) {
				this.client.granted(grant, now);
				return;
			}
			Consumer<MeshAllotmentGrant> sender = this.senders.get(connection);
			if (sender != null) {
				sender.accept(AllotmentMessages.toMessage(grant));
			}
		});
	}

	/**
	 * A node has answered a report or sent a notice.
	 * @param link link to the node
	 * @param message grant
	 */
	public void granted(FleetLink link, MeshAllotmentGrant message) {
		Optional<AllotmentGrant> grant = AllotmentMessages.toGrant(message);
		if (grant.isEmpty()) {
			logger.debugf("event=allotment-grant-unreadable node=%s", link.node());
			return;
		}
		if (link == this.followed) {
			this.unanswered = false;
			this.chosen &= !grant.get().stopping();
		}
		else if (grant.get().notice()) {
			return;
		}
		this.client.granted(grant.get(), this.clock.getAsLong());
	}

	@Override
	public void received(Object connection, MeshAllotmentReport message, Consumer<MeshAllotmentGrant> sender) {
		Optional<AllotmentReport> report = AllotmentMessages.toReport(message);
		if (report.isEmpty()) {
			logger.debugf("event=allotment-report-unreadable");
			return;
		}
		long now = this.clock.getAsLong();
		if (!this.fleetSize.known(now)) {
			// The sender goes on as with a coordinator that has handed over.
			sender.accept(AllotmentMessages.toMessage(new AllotmentGrant(report.get().sequence(), true, List.of())));
			return;
		}
		// A node that leaves may know a coordinator that this node has to hand over to.
		this.chosen &= !report.get().leaving();
		this.senders.putIfAbsent(connection, sender);
		this.coordinator.report(connection, report.get(), now)
			.ifPresent((grant) -> sender.accept(AllotmentMessages.toMessage(grant)));
	}

	@Override
	public void closed(Object connection) {
		if (this.senders.remove(connection) != null) {
			this.coordinator.disconnected(connection);
		}
	}

	/**
	 * Discards permissions, since the process did not run for some time.
	 * @param now current time in nanoseconds
	 */
	public void pauseEnded(long now) {
		this.client.pauseEnded();
		this.coordinator.pauseEnded(now);
		this.unansweredSince = now;
	}

	/**
	 * Lends no more, since the node is about to stop.
	 */
	public void stop() {
		this.stopping = true;
		this.coordinator.stop();
		// The next coordinator needs the tokens before the nodes that report to it.
		this.chosen = false;
	}

	/** Another node of the fleet. */
	private static final class Member {

		private final long weight;

		private long lastSeen;

		private boolean stopping;

		private boolean avoided;

		private long avoidedUntil;

		Member(NodeId node) {
			this.weight = CoordinatorChoice.weight(node);
		}

		void seen(FleetLink link, long now) {
			this.lastSeen = now;
			this.stopping = link.stopping();
		}

		void avoid(long until) {
			this.avoided = true;
			this.avoidedUntil = until;
		}

		boolean avoided(long now) {
			if (this.avoided && now - this.avoidedUntil >= 0) {
				this.avoided = false;
			}
			return this.avoided;
		}

	}

}
