package org.wasabicart.core.allotment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.function.ToIntFunction;

import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.workspace.WorkspaceName;

/**
 * Plays the allotments of a fleet in virtual time: nodes in four failure domains and two
 * regions, with lost, late, doubled and reordered messages, cut links, and nodes that
 * freeze and restart. The clock of a frozen node stands still.
 */
final class AllotmentFleet {

	static final double WINDOW_SECONDS = 5;

	private static final int FAILURE_DOMAINS = 4;

	private static final double SECOND = 1e9;

	/** Interval at which a node checks whether a report is due. */
	private static final double TICK_SECONDS = 0.02;

	private static final double REACHABILITY_DELAY_SECONDS = 0.85;

	/** Shortest pause that a node notices. */
	private static final double NOTICED_PAUSE_SECONDS = 0.5;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::time).thenComparingLong(Event::order));

	private final SplittableRandom random;

	private final List<Node> nodes = new ArrayList<>();

	private final List<Node> byWeight;

	private final Map<WorkspaceName, Usage> usages = new HashMap<>();

	private Map<WorkspaceName, Allotment> allotments = new HashMap<>();

	private double time;

	private long order;

	/** Share of messages that are lost, and as many that are doubled or late. */
	private double faultShare;

	/** Failure domains below this number cannot reach the others. */
	private int cutDomains;

	/** Whether each node chooses its coordinator at other times than the others. */
	private boolean staggered;

	private final int recordedSize;

	AllotmentFleet(int size, long seed) {
		this.recordedSize = size;
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < size; i++) {
			this.nodes.add(new Node(i));
		}
		this.byWeight = new ArrayList<>(this.nodes);
		this.byWeight.sort(Comparator.comparingLong((Node node) -> node.weight).reversed());
		this.nodes.forEach((node) -> at(this.random.nextDouble(TICK_SECONDS), node::tick));
	}

	void staggerChoices() {
		this.staggered = true;
	}

	void messageFaults(double share) {
		this.faultShare = share;
	}

	WorkspaceName workspace(String name, double rate) {
		return workspace(name, new Allotment(rate, rate));
	}

	WorkspaceName workspace(String name, Allotment allotment) {
		WorkspaceName workspace = new WorkspaceName(name);
		this.allotments.put(workspace, allotment);
		this.usages.put(workspace, new Usage(allotment));
		applyConfiguration();
		return workspace;
	}

	void limit(WorkspaceName workspace, double rate) {
		this.allotments.put(workspace, new Allotment(rate, rate));
		applyConfiguration();
	}

	/** Adds a workspace whose configuration reaches each node within three seconds. */
	WorkspaceName spreadWorkspace(String name, double when, Allotment allotment) {
		WorkspaceName workspace = new WorkspaceName(name);
		this.usages.put(workspace, new Usage(allotment));
		at(when, () -> {
			this.allotments = new HashMap<>(this.allotments);
			this.allotments.put(workspace, allotment);
		});
		this.nodes.forEach((node) -> at(when + this.random.nextDouble(3), node::configure));
		return workspace;
	}

	void withoutWorkspaces() {
		applyConfiguration();
	}

	void remove(WorkspaceName workspace) {
		this.allotments.remove(workspace);
		applyConfiguration();
	}

	private void applyConfiguration() {
		this.nodes.forEach(Node::configure);
	}

	void at(double when, Runnable action) {
		this.events.add(new Event(when, this.order++, action));
	}

	/**
	 * Sends requests of a workspace.
	 * @param workspace workspace
	 * @param from start in seconds
	 * @param to end in seconds
	 * @param rate requests per second by time
	 * @param entry chooses the node of a request
	 */
	void demand(WorkspaceName workspace, double from, double to, DoubleUnaryOperator rate,
			ToIntFunction<SplittableRandom> entry) {
		double next = from - Math.log(1 - this.random.nextDouble()) / rate.applyAsDouble(from);
		if (next >= to) {
			return;
		}
		at(next, () -> {
			this.nodes.get(entry.applyAsInt(this.random)).request(workspace);
			demand(workspace, next, to, rate, entry);
		});
	}

	/** Sends requests at equal intervals, in turn through all nodes in random order. */
	void steadyDemand(WorkspaceName workspace, double from, double to, double rate) {
		for (double when = from; when < to; when += 1 / rate) {
			at(when, () -> this.nodes.get(anyNode(this.random)).request(workspace));
		}
	}

	int anyNode(SplittableRandom source) {
		return source.nextInt(this.nodes.size());
	}

	int nodeOfDomain(int domain, SplittableRandom source) {
		int inDomain = (this.nodes.size() - domain + FAILURE_DOMAINS - 1) / FAILURE_DOMAINS;
		return domain + FAILURE_DOMAINS * source.nextInt(inDomain);
	}

	void cut(double from, double to, int domains) {
		at(from, () -> this.cutDomains = domains);
		at(to, () -> this.cutDomains = 0);
	}

	void freeze(int node, double from, double seconds) {
		at(from, () -> this.nodes.get(node).freeze(seconds));
	}

	void restart(int node, double when) {
		at(when, () -> this.nodes.get(node).restart());
	}

	/**
	 * Stops a node as planned and starts it again.
	 * @param node node
	 * @param when start of the stop in seconds
	 * @param stopping time in seconds for which it answers and lends no more
	 * @param down time in seconds until it starts again
	 */
	void plannedRestart(int node, double when, double stopping, double down) {
		at(when, () -> this.nodes.get(node).stop(stopping, down));
	}

	/**
	 * Stops the node that coordinates at that time as planned and starts it again.
	 * @param when start of the stop in seconds
	 * @param stopping time in seconds for which it answers and lends no more
	 * @param down time in seconds until it starts again
	 */
	void plannedRestartOfCoordinator(double when, double stopping, double down) {
		at(when, () -> currentCoordinator().ifPresent((node) -> node.stop(stopping, down)));
	}

	/**
	 * Kills the node that coordinates at that time and starts it again.
	 * @param when time in seconds
	 * @param down time in seconds until it starts again
	 */
	void killCoordinator(double when, double down) {
		at(when, () -> currentCoordinator().ifPresent((node) -> node.kill(down)));
	}

	/**
	 * Kills all nodes and starts them again. None is listed by the others at first.
	 * @param when time in seconds
	 * @param down time in seconds until they start again
	 * @param unlisted time in seconds from their start until all are listed
	 */
	void killAll(double when, double down, double unlisted) {
		at(when, () -> this.nodes.forEach((node) -> {
			node.kill(down);
			node.listedFrom = when + down + unlisted;
		}));
	}

	private Optional<Node> currentCoordinator() {
		return this.byWeight.stream().filter(Node::usable).findFirst();
	}

	void clockJump(int node, double when) {
		at(when, () -> this.nodes.get(node).pauseNoticed());
	}

	int coordinator() {
		return this.nodes.get(0).chosenCoordinator();
	}

	void run(double until) {
		while (!this.events.isEmpty() && this.events.peek().time() < until) {
			Event event = this.events.poll();
			this.time = event.time();
			event.action().run();
		}
	}

	Usage usage(WorkspaceName workspace) {
		return this.usages.get(workspace);
	}

	private double latency(Node from, Node to) {
		if (from == to) {
			return 0;
		}
		boolean sameRegion = from.domain() / 2 == to.domain() / 2;
		double oneWay = (from.domain() == to.domain()) ? 0.0003 : sameRegion ? 0.002 : 0.012;
		return oneWay * (1 + 0.3 * this.random.nextDouble());
	}

	private boolean connected(Node from, Node to) {
		return from.domain() < this.cutDomains == to.domain() < this.cutDomains;
	}

	private void send(Node from, Node to, Runnable delivery) {
		if (from != to && (!connected(from, to) || fault())) {
			return;
		}
		int incarnation = to.incarnation;
		int copies = (from != to && fault()) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			double late = (from != to && fault()) ? this.random.nextDouble(0.4) : 0;
			at(this.time + latency(from, to) + late, () -> {
				if (to.incarnation == incarnation) {
					to.receive(delivery);
				}
			});
		}
	}

	private boolean fault() {
		return this.faultShare > 0 && this.random.nextDouble() < this.faultShare;
	}

	private record Event(double time, long order, Runnable action) {

	}

	/** One node. */
	private final class Node {

		private final int index;

		private final NodeId id;

		private final long weight;

		private final Deque<Runnable> waiting = new ArrayDeque<>();

		private int incarnation;

		private FleetSize fleetSize;

		private AllotmentClient client;

		private AllotmentCoordinator<Link> coordinator;

		private int followed = -1;

		private List<AllotmentTokens> handover = List.of();

		private Set<WorkspaceName> known = Set.of();

		private int followedIncarnation;

		private boolean sideCut;

		private double cutNoticed = Double.MAX_VALUE;

		private double stoodStill;

		private double frozenUntil = -1;

		private boolean stopping;

		private boolean down;

		/** Whether the coordinator is chosen in the next tick. */
		private boolean choosing;

		/** Time from which this node knows the others. */
		private double listedFrom;

		Node(int index) {
			this.index = index;
			this.id = new NodeId("n" + index);
			this.weight = CoordinatorChoice.weight(this.id);
			start();
		}

		int domain() {
			return this.index % FAILURE_DOMAINS;
		}

		private long now() {
			return (long) ((AllotmentFleet.this.time - this.stoodStill) * SECOND);
		}

		private void start() {
			this.client = new AllotmentClient(AllotmentFleet.this.random, now());
			this.coordinator = new AllotmentCoordinator<>();
			this.fleetSize = new FleetSize();
			this.fleetSize.listed(OptionalInt.of(AllotmentFleet.this.recordedSize), now());
			this.followed = -1;
			// A node that has started knows no configuration until it is applied.
			if (!AllotmentFleet.this.allotments.isEmpty()) {
				configure();
			}
		}

		private void configure() {
			this.known = Set.copyOf(AllotmentFleet.this.allotments.keySet());
			this.client.configure(AllotmentFleet.this.allotments, now());
			this.coordinator.configure(AllotmentFleet.this.allotments, now());
			if (this.followed >= 0 && this.followed != this.index) {
				this.coordinator.discardHandedOver();
			}
		}

		void restart() {
			this.incarnation++;
			this.waiting.clear();
			start();
		}

		private boolean usable() {
			return !this.stopping && !this.down && !frozen();
		}

		void stop(double seconds, double downSeconds) {
			if (!usable()) {
				return;
			}
			this.stopping = true;
			this.choosing = true;
			this.coordinator.stop();
			at(AllotmentFleet.this.time + seconds, () -> end(downSeconds));
		}

		void kill(double downSeconds) {
			if (!this.down) {
				end(downSeconds);
			}
		}

		private void end(double downSeconds) {
			if (this.down) {
				return;
			}
			Link link = new Link(this.index, this.incarnation);
			this.down = true;
			this.incarnation++;
			this.waiting.clear();
			AllotmentFleet.this.nodes.stream()
				.filter((node) -> node != this && !node.down)
				.forEach((node) -> node.coordinator.disconnected(link));
			at(AllotmentFleet.this.time + downSeconds, () -> {
				this.down = false;
				this.stopping = false;
				restart();
			});
		}

		void freeze(double seconds) {
			this.frozenUntil = AllotmentFleet.this.time + seconds;
			at(this.frozenUntil, () -> {
				this.stoodStill += seconds;
				this.frozenUntil = -1;
				if (seconds >= NOTICED_PAUSE_SECONDS) {
					pauseNoticed();
				}
				List<Runnable> read = List.copyOf(this.waiting);
				this.waiting.clear();
				read.forEach(Runnable::run);
			});
		}

		void pauseNoticed() {
			this.client.pauseEnded();
			this.coordinator.pauseEnded(now());
		}

		void receive(Runnable delivery) {
			if (frozen()) {
				this.waiting.add(delivery);
			}
			else {
				delivery.run();
			}
		}

		private boolean frozen() {
			return this.frozenUntil >= 0;
		}

		// The links of a node end 0.85 s after they are cut or their node stops to
		// answer.
		private int chosenCoordinator() {
			for (Node node : AllotmentFleet.this.byWeight) {
				if (node == this && !this.stopping || node != this && listed() && !node.stopping && !node.down
						&& (connected(this, node) || AllotmentFleet.this.time < this.cutNoticed) && !node.frozen()) {
					return node.index;
				}
			}
			return this.index;
		}

		void tick() {
			double next = TICK_SECONDS;
			if (!frozen() && !this.down) {
				boolean cut = AllotmentFleet.this.cutDomains > 0;
				if (cut != this.sideCut) {
					this.sideCut = cut;
					this.cutNoticed = cut
							? AllotmentFleet.this.time
									+ AllotmentFleet.this.random.nextDouble(0.1, REACHABILITY_DELAY_SECONDS)
							: Double.MAX_VALUE;
				}
				int members = this.fleetSize.divisor(listed() ? AllotmentFleet.this.nodes.size() : 1, now());
				this.client.members(members);
				this.coordinator.members(members);
				follow();
				reportIfDue();
				sendNotices();
			}
			at(AllotmentFleet.this.time + next, this::tick);
		}

		private boolean listed() {
			return AllotmentFleet.this.time >= this.listedFrom;
		}

		private void follow() {
			double phase = AllotmentFleet.this.staggered ? this.index * 0.037 : 0;
			if (!this.choosing && (AllotmentFleet.this.time + phase) % 0.1 > TICK_SECONDS && this.followed >= 0
					&& AllotmentFleet.this.nodes.get(this.followed).incarnation == this.followedIncarnation) {
				return;
			}
			this.choosing = false;
			int chosen = chosenCoordinator();
			int chosenIncarnation = AllotmentFleet.this.nodes.get(chosen).incarnation;
			if (chosen != this.followed || chosenIncarnation != this.followedIncarnation) {
				if (this.followed >= 0) {
					report(AllotmentFleet.this.nodes.get(this.followed), this.client.lastReport(now()));
				}
				this.handover = (chosen != this.index) ? this.coordinator.handOver() : List.of();
				this.followed = chosen;
				this.followedIncarnation = chosenIncarnation;
				this.client.startSession(now());
			}
		}

		private void reportIfDue() {
			if (this.client.reportDue(now())) {
				report(AllotmentFleet.this.nodes.get(this.followed),
						this.client.report(now()).withHandover(this.handover));
				this.handover = List.of();
			}
		}

		private void report(Node to, AllotmentReport report) {
			Link link = new Link(this.index, this.incarnation);
			send(this, to, () -> {
				to.choosing |= report.leaving();
				Optional<AllotmentGrant> grant = to.coordinator.report(link, report, to.now());
				grant.ifPresent((content) -> send(to, this, () -> {
					this.choosing |= content.stopping() && to.index == this.followed;
					this.client.granted(content, now());
				}));
			});
		}

		private void sendNotices() {
			this.coordinator.notices(now()).forEach((link, notice) -> {
				Node node = AllotmentFleet.this.nodes.get(link.node());
				if (node.incarnation == link.incarnation()) {
					send(this, node, () -> node.noticed(this.index, notice));
				}
			});
		}

		// As FleetAllotments, which ignores notices of other nodes than its coordinator.
		private void noticed(int from, AllotmentGrant notice) {
			if (from == this.followed) {
				this.client.granted(notice, now());
			}
		}

		void request(WorkspaceName workspace) {
			// The key of an unknown workspace is not valid.
			if (frozen() || this.down || !this.known.contains(workspace)) {
				return;
			}
			Usage usage = AllotmentFleet.this.usages.get(workspace);
			boolean allowed = usage.allowed(AllotmentFleet.this.time);
			AllotmentDecision decision = this.client.admit(workspace, (long) (2 * SECOND), now());
			usage.record(AllotmentFleet.this.time, allowed, decision);
			if (this.followed >= 0) {
				reportIfDue();
			}
		}

	}

	/**
	 * Connection of one run of a node.
	 */
	private record Link(int node, int incarnation) {

	}

	/** What became of the requests of one workspace. */
	static final class Usage {

		private final Allotment allotment;

		private final List<Double> runs = new ArrayList<>();

		private double tokens;

		private double refilled;

		private int allowedRequests;

		private int allowedRefused;

		private int requests;

		private final Map<AllotmentDecision.Basis, Integer> bases = new HashMap<>();

		Usage(Allotment allotment) {
			this.allotment = allotment;
			this.tokens = allotment.burst();
		}

		/**
		 * Returns whether a request is within the allotment as one bucket for the whole
		 * fleet would decide.
		 */
		private boolean allowed(double time) {
			this.tokens = Math.min(this.allotment.burst(),
					this.tokens + (time - this.refilled) * this.allotment.requestsPerSecond());
			this.refilled = time;
			if (this.tokens < 1) {
				return false;
			}
			this.tokens--;
			return true;
		}

		private void record(double time, boolean allowed, AllotmentDecision decision) {
			this.requests++;
			this.bases.merge(decision.basis(), 1, Integer::sum);
			if (allowed) {
				this.allowedRequests++;
			}
			if (decision.admitted()) {
				this.runs.add(time);
			}
			else if (allowed) {
				this.allowedRefused++;
			}
		}

		int allowedRefused() {
			return this.allowedRefused;
		}

		int allowedRequests() {
			return this.allowedRequests;
		}

		int requests() {
			return this.requests;
		}

		int ran() {
			return this.runs.size();
		}

		Map<AllotmentDecision.Basis, Integer> bases() {
			return this.bases;
		}

		/**
		 * Returns the largest number of requests that ran in a window.
		 * @param from earliest start of a window in seconds
		 * @return the number
		 */
		int mostInWindow(double from) {
			int most = 0;
			int start = 0;
			for (int end = 0; end < this.runs.size(); end++) {
				while (this.runs.get(end) - this.runs.get(start) > WINDOW_SECONDS) {
					start++;
				}
				if (this.runs.get(start) >= from) {
					most = Math.max(most, end - start + 1);
				}
			}
			return most;
		}

		double bound() {
			return bound(this.allotment);
		}

		static double bound(double rate) {
			return bound(new Allotment(rate, rate));
		}

		private static double bound(Allotment allotment) {
			return (allotment.requestsPerSecond() * WINDOW_SECONDS + allotment.burst()) * 1.1 + 20;
		}

	}

}
