package org.wasabicart.core.allotment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.wasabicart.core.workspace.WorkspaceName;

/**
 * Lends the requests of each workspace to the nodes that report their demand. Addresses
 * demand that moves between nodes within seconds and workspaces that send several times
 * their usual load: fixed shares would refuse requests that are within the allotment.
 * <p>
 * Each workspace has one token bucket. It is charged when a node reports that requests
 * have run; tokens that a node holds are only reserved, so that unused ones are lost for
 * at most the time for which they are valid. Rate and capacity are those of the share of
 * the fleet that follows this coordinator, so that coordinators of different parts of a
 * divided fleet do not lend more than the allotment together. A coordinator that nobody
 * follows has empty buckets.
 *
 * @param <K> identifies a node that reports
 */
public final class AllotmentCoordinator<K> {

	/** Shortest time between two computations of the share and the buckets. */
	private static final long REFILL_INTERVAL = TimeUnit.MILLISECONDS.toNanos(20);

	/**
	 * Tokens as time at the allotted rate below which credit is limited to the tolerance.
	 * The notices that close the credit take up to 0.13 s, in which 7.6 times the usual
	 * demand spends as much.
	 */
	private static final double CALM_SECONDS = 0.55;

	/** Tokens as time at the allotted rate after which credit is opened again. */
	private static final double REOPENING_SECONDS = 0.15;

	/**
	 * Largest share of a bucket's capacity that is required for credit, for workspaces
	 * with a small burst.
	 */
	private static final double LARGEST_CALM_SHARE = 0.5;

	/**
	 * Requests on credit that each node may have not reported while the bucket is well
	 * filled: further requests can come before the first one is confirmed.
	 */
	private static final int CALM_CREDITS = 3;

	/** Share of the tokens that are left which one node gets at most. */
	private static final double LARGEST_GRANT = 0.5;

	/**
	 * Share of a bucket's level that is reserved for nodes whose few expected requests
	 * can run on credit. At 680 nodes their tokens reserved all of the level of a
	 * workspace with a burst of a fifth of its rate, which closed the credit.
	 */
	private static final double LARGEST_SPORADIC_SHARE = 0.5;

	/** Requests of a new workspace that a node admits before it gets a grant. */
	private static final int INITIAL_CREDITS = 1;

	/**
	 * Time at the allotted rate that is lent on credit to nodes that have started. Usual
	 * demand spends 0.56 s of the rate in the 0.9 s until they count, in which the bucket
	 * gets no refill for them; just as much still refused requests.
	 */
	private static final double START_CREDIT_SECONDS = 0.8;

	/**
	 * Requests on credit of each started node, as many as while the bucket is well
	 * filled: with 2 a request was refused at 80 nodes.
	 */
	private static final int LEAST_START_CREDITS = 3;

	/** Requests that are lent in addition, for workspaces with a small rate. */
	private static final double START_CREDIT_REQUESTS = 4;

	private static final long MAXIMUM_WAIT = TimeUnit.SECONDS.toNanos(10);

	private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final Map<WorkspaceName, Bucket> buckets = new LinkedHashMap<>();

	private final Map<K, Reporter> reporters = new LinkedHashMap<>();

	private int members = 1;

	private int nextIndex;

	private double share;

	private long refilled;

	private boolean started;

	private boolean stopping;

	private boolean handedOver;

	private boolean configured;

	/** Time before which this node does not know what other coordinators have lent. */
	private long unknownBefore;

	/** Times at which workspaces were removed from the configuration. */
	private final Map<WorkspaceName, Long> removed = new HashMap<>();

	/** Whether nodes have followed this coordinator without a gap. */
	private boolean sharing;

	private long sharingSince;

	/**
	 * Replaces the allotments. The bucket of a new workspace is full if no other
	 * coordinator can have lent its tokens, and it has not been configured recently;
	 * otherwise it is empty.
	 * @param allotments allotments of the limited workspaces
	 * @param now current time in nanoseconds
	 */
	public void configure(Map<WorkspaceName, Allotment> allotments, long now) {
		boolean onlyCoordinator = this.configured && now - this.unknownBefore > AllotmentTimes.FORGOTTEN
				&& (this.buckets.isEmpty() || sharesSince(now - AllotmentTimes.FORGOTTEN, now));
		if (!this.configured) {
			this.configured = true;
			this.unknownBefore = now;
		}
		this.removed.values().removeIf((time) -> now - time > AllotmentTimes.FORGOTTEN);
		this.buckets.keySet()
			.stream()
			.filter((name) -> !allotments.containsKey(name))
			.forEach((name) -> this.removed.put(name, now));
		this.buckets.keySet().retainAll(allotments.keySet());
		allotments.forEach((name, allotment) -> {
			Bucket bucket = this.buckets.get(name);
			if (bucket == null) {
				Bucket added = new Bucket(this.nextIndex++, name);
				added.allotment = allotment;
				added.initialCreditEnd = now + AllotmentTimes.CONFIGURATION_SPREAD;
				if (onlyCoordinator && !this.removed.containsKey(name)) {
					added.handed = added.capacity();
					added.handedUntil = now + AllotmentTimes.HANDOVER;
					added.takeHanded(this.share, now);
				}
				this.reporters.values().forEach((reporter) -> reporter.tell(added, INITIAL_CREDITS, 0));
				this.buckets.put(name, added);
				bucket = added;
			}
			bucket.allotment = allotment;
			bucket.level = Math.min(bucket.level, this.share * bucket.capacity());
		});
		this.reporters.values().forEach((reporter) -> {
			reporter.holdings.keySet().retainAll(allotments.keySet());
			reporter.reductions.keySet().retainAll(this.buckets.values());
		});
	}

	private boolean sharesSince(long time, long now) {
		return this.sharing && !this.handedOver && now - this.refilled < AllotmentTimes.COUNTED
				&& this.sharingSince - time < 0;
	}

	/**
	 * Discards tokens that this coordinator may not lend yet, since this node follows
	 * another one.
	 */
	public void discardHandedOver() {
		this.buckets.values().forEach((bucket) -> bucket.handed = 0);
	}

	/**
	 * Sets the number of known nodes.
	 * @param count nodes of the fleet with this one, also those that were lost recently
	 */
	public void members(int count) {
		this.members = Math.max(1, count);
	}

	/**
	 * Lends no more, since this node is about to stop.
	 */
	public void stop() {
		this.stopping = true;
	}

	/**
	 * Counts only nodes that follow this coordinator still, since the process may not
	 * have run for some time in which they may have chosen another one. A node that still
	 * follows it confirms a grant before that, also if the time of day was set and there
	 * was no pause.
	 * @param now current time in nanoseconds
	 */
	public void pauseEnded(long now) {
		this.unknownBefore = now;
		this.sharing = false;
		discardHandedOver();
		long oldest = now - AllotmentTimes.COUNTED + AllotmentTimes.COUNTED_AFTER_PAUSE;
		for (Reporter reporter : this.reporters.values()) {
			if (reporter.confirmedTime - oldest > 0) {
				reporter.confirmedTime = oldest;
			}
		}
	}

	/**
	 * Handles a report.
	 * @param node node that has sent it
	 * @param report report
	 * @param now current time in nanoseconds
	 * @return the grant, or empty if the report is late or doubled
	 */
	public Optional<AllotmentGrant> report(K node, AllotmentReport report, long now) {
		Reporter reporter = this.reporters.get(node);
		if (reporter != null && (report.session() < reporter.session || report.sequence() <= reporter.sequence)) {
			return Optional.empty();
		}
		if (reporter != null && report.session() > reporter.session) {
			assumeSpent(reporter);
			reporter = null;
		}
		if (reporter == null) {
			reporter = new Reporter(report.session());
			this.reporters.put(node, reporter);
			this.sharing = this.sharing && !this.handedOver;
			if (reporter.starting(report)) {
				this.buckets.values().forEach((bucket) -> bucket.addStartCredit(1.0 / this.members));
			}
			this.handedOver = this.handedOver && (this.stopping || report.leaving());
			for (Bucket bucket : this.buckets.values()) {
				if (now - bucket.initialCreditEnd < 0) {
					reporter.tell(bucket, INITIAL_CREDITS, 0);
				}
			}
		}
		if (this.handedOver && !report.leaving()) {
			return Optional.of(new AllotmentGrant(report.sequence(), true, List.of()));
		}
		reporter.accept(report, now);
		refill(now);
		acceptHandover(report, now);
		List<AllotmentTokens> tokens = new ArrayList<>();
		for (AllotmentDemand demand : report.demands()) {
			Bucket bucket = this.buckets.get(demand.workspace());
			if (bucket != null) {
				settle(reporter, bucket, demand, now);
				tokens.add(grant(reporter, bucket, demand, report));
			}
		}
		if (report.leaving()) {
			assumeSpent(reporter);
			updateShare(now);
			return Optional.of(new AllotmentGrant(report.sequence(), this.stopping, List.of()));
		}
		addChangedCredits(reporter, tokens, report.sequence());
		return Optional.of(new AllotmentGrant(report.sequence(), this.stopping, tokens));
	}

	/**
	 * Takes the tokens that are left out of the buckets, and those of an earlier
	 * coordinator that were not lent, since another node coordinates from now on. Nodes
	 * that still report to this one get an empty answer that says that this one lends no
	 * more, so that they use the credit that they have until they follow the other node.
	 * @return tokens by workspace, to be sent to the other node
	 */
	public List<AllotmentTokens> handOver() {
		this.handedOver = true;
		this.sharing = false;
		List<AllotmentTokens> tokens = new ArrayList<>();
		for (Bucket bucket : this.buckets.values()) {
			double left = Math.max(0, bucket.left());
			bucket.level -= left;
			int handed = (int) Math.min(bucket.capacity(), left + bucket.retained + bucket.handed);
			bucket.handed = 0;
			bucket.retained = 0;
			if (handed > 0 && tokens.size() < AllotmentReport.MAXIMUM_DEMANDS) {
				tokens.add(new AllotmentTokens(bucket.name, handed, 0, 0));
			}
		}
		return tokens;
	}

	private void acceptHandover(AllotmentReport report, long now) {
		for (AllotmentTokens tokens : report.handover()) {
			Bucket bucket = this.buckets.get(tokens.workspace());
			if (bucket != null) {
				bucket.handed = Math.min(bucket.handed + tokens.tokens(), bucket.capacity());
				bucket.handedUntil = now + AllotmentTimes.HANDOVER;
				bucket.takeHanded(this.share, now);
			}
		}
	}

	private void settle(Reporter reporter, Bucket bucket, AllotmentDemand demand, long now) {
		Holding holding = reporter.holdings.computeIfAbsent(bucket.name, (name) -> new Holding());
		long charge = demand.spent() - holding.spent;
		if (charge > 0) {
			long covered = Math.min(charge, holding.assumedSpent);
			charge -= covered;
		}
		holding.assumedSpent = 0;
		holding.spent = demand.spent();
		bucket.charge(charge, this.share, this.members);
		holding.open.removeIf((open) -> open.sequence() <= reporter.acknowledged);
		int inTransit = holding.open.stream().mapToInt(OpenGrant::tokens).sum();
		// A node holds no tokens that it has not been granted.
		reserve(holding, bucket, Math.min(holding.reserved, demand.held() + inTransit));
		holding.reported = now;
	}

	private void reserve(Holding holding, Bucket bucket, int tokens) {
		bucket.reserved += tokens - holding.reserved;
		holding.reserved = tokens;
	}

	private AllotmentTokens grant(Reporter reporter, Bucket bucket, AllotmentDemand demand, AllotmentReport report) {
		Holding holding = reporter.holdings.get(bucket.name);
		int tokens = 0;
		double left = bucket.left();
		boolean served = bucket.calm && demand.wanted() <= CALM_CREDITS;
		boolean available = left >= 1 && !(served && bucket.reserved > LARGEST_SPORADIC_SHARE * bucket.level);
		if (demand.wanted() > 0 && available && !this.stopping && !report.leaving()) {
			tokens = (int) Math.min(demand.wanted(), Math.max(1, left * LARGEST_GRANT));
			holding.open.add(new OpenGrant(report.sequence(), tokens));
			reserve(holding, bucket, holding.reserved + tokens);
		}
		int unmet = demand.wanted() - tokens;
		bucket.unmet += unmet - holding.unmet;
		holding.unmet = unmet;
		int credits = bucket.credits(this.members);
		reporter.tell(bucket, credits, report.sequence());
		return new AllotmentTokens(bucket.name, tokens, credits, (unmet > 0) ? bucket.wait(this.share) : 0);
	}

	// Only workspaces whose credit was reduced or doubled; a node with demand learns the
	// amount when it reports the workspace.
	private void addChangedCredits(Reporter reporter, List<AllotmentTokens> tokens, long sequence) {
		for (Bucket bucket : this.buckets.values()) {
			if (tokens.size() >= AllotmentReport.MAXIMUM_DEMANDS) {
				return;
			}
			int credits = bucket.credits(this.members);
			int told = reporter.told(bucket.index);
			boolean unconfirmed = reporter.unconfirmedNotice(bucket, sequence);
			if (unconfirmed || credits < told || credits > 0 && credits >= 2 * told) {
				reporter.tell(bucket, credits, sequence);
				tokens.add(new AllotmentTokens(bucket.name, 0, credits, 0));
			}
		}
	}

	/**
	 * Returns notices to the nodes whose credit has become too large, or was closed and
	 * is open again. To be called soon after reports, since nodes admit requests on
	 * credit until they get the notice, and refuse them while it is closed.
	 * @param now current time in nanoseconds
	 * @return notices by node
	 */
	public Map<K, AllotmentGrant> notices(long now) {
		if (this.reporters.isEmpty() || this.handedOver) {
			return Map.of();
		}
		refill(now);
		List<Bucket> changed = new ArrayList<>();
		for (Bucket bucket : this.buckets.values()) {
			boolean reduced = bucket.credits(this.members) < bucket.highestTold;
			if ((bucket.takeReopened() || reduced) && changed.size() < AllotmentReport.MAXIMUM_DEMANDS) {
				changed.add(bucket);
			}
		}
		if (changed.isEmpty()) {
			return Map.of();
		}
		Map<K, AllotmentGrant> notices = new HashMap<>();
		this.reporters.forEach((node, reporter) -> {
			List<AllotmentTokens> tokens = new ArrayList<>();
			for (Bucket bucket : changed) {
				int credits = bucket.credits(this.members);
				int told = reporter.told(bucket.index);
				if (credits < told || told == 0 && bucket.calm) {
					reporter.tell(bucket, credits, 0);
					tokens.add(new AllotmentTokens(bucket.name, 0, credits, 0));
				}
			}
			if (!tokens.isEmpty()) {
				notices.put(node, new AllotmentGrant(0, this.stopping, tokens));
			}
		});
		changed.forEach((bucket) -> bucket.highestTold = bucket.credits(this.members));
		return notices;
	}

	/**
	 * The connection to a node has ended. What it holds counts as spent.
	 * @param node node
	 */
	public void disconnected(K node) {
		Reporter reporter = this.reporters.remove(node);
		if (reporter != null) {
			assumeSpent(reporter);
		}
	}

	/**
	 * Returns the share of the fleet that follows this coordinator.
	 * @return the share, 0 to 1
	 */
	public double share() {
		return this.share;
	}

	/**
	 * Returns the tokens that are left of a workspace's bucket.
	 * @param workspace workspace
	 * @return the tokens, negative after too many requests on credit, 0 if unknown
	 */
	public double left(WorkspaceName workspace) {
		Bucket bucket = this.buckets.get(workspace);
		return (bucket != null) ? bucket.left() : 0;
	}

	private void refill(long now) {
		if (!this.started) {
			this.started = true;
			this.refilled = now;
		}
		long elapsed = now - this.refilled;
		if (elapsed < REFILL_INTERVAL) {
			return;
		}
		this.refilled = now;
		this.sharing = this.sharing && elapsed < AllotmentTimes.COUNTED;
		double seconds = elapsed / NANOSECONDS_PER_SECOND;
		for (Bucket bucket : this.buckets.values()) {
			bucket.level += bucket.allotment.requestsPerSecond() * this.share * seconds;
		}
		updateShare(now);
		for (Reporter reporter : this.reporters.values()) {
			reporter.holdings.forEach((name, holding) -> {
				if (holding.reserved > 0 && now - holding.reported > AllotmentTimes.TOKENS_LOST) {
					assumeSpent(holding, this.buckets.get(name));
				}
			});
		}
	}

	private void updateShare(long now) {
		long counted = this.reporters.values().stream().filter((reporter) -> reporter.countedAt(now)).count();
		double previousShare = this.share;
		this.share = Math.min(1, (double) counted / this.members);
		if (this.share > 0 && !this.sharing) {
			this.sharingSince = now;
		}
		this.sharing = this.share > 0;
		for (Bucket bucket : this.buckets.values()) {
			bucket.limitLevel(previousShare, this.share, now);
			bucket.takeHanded(this.share, now);
		}
	}

	private void assumeSpent(Reporter reporter) {
		reporter.holdings.forEach((name, holding) -> assumeSpent(holding, this.buckets.get(name)));
	}

	private void assumeSpent(Holding holding, Bucket bucket) {
		holding.assumedSpent += holding.reserved;
		bucket.charge(holding.reserved, this.share, this.members);
		holding.open.clear();
		reserve(holding, bucket, 0);
		bucket.unmet -= holding.unmet;
		holding.unmet = 0;
	}

	/** Tokens of one workspace. */
	private static final class Bucket {

		private final int index;

		private final WorkspaceName name;

		private Allotment allotment = Allotment.NONE;

		/** Tokens that have not been spent, with those that nodes hold. */
		private double level;

		/** Tokens that nodes hold. */
		private int reserved;

		/** Tokens that nodes wanted and did not get. */
		private int unmet;

		private int highestTold;

		/**
		 * Tokens of an earlier coordinator or of a new workspace that this one may not
		 * lend yet, since the nodes that follow it are too few.
		 */
		private double handed;

		private long handedUntil;

		/**
		 * Tokens of nodes that no longer follow this coordinator. They are not lent here,
		 * only handed over.
		 */
		private double retained;

		private long retainedUntil;

		private long initialCreditEnd;

		/**
		 * Requests on credit for nodes that have started and do not count yet. They may
		 * make the level negative, so the bucket itself stays empty.
		 */
		private double startCredit;

		private boolean calm;

		/** Whether nodes may not know that the bucket has become calm. */
		private boolean reopened;

		Bucket(int index, WorkspaceName name) {
			this.index = index;
			this.name = name;
		}

		double capacity() {
			return AllotmentTolerance.capacity(this.allotment);
		}

		void takeHanded(double share, long now) {
			if (this.handed > 0 && now - this.handedUntil < 0) {
				double taken = Math.max(0, Math.min(this.handed, share * capacity() - this.level));
				this.level += taken;
				this.handed -= taken;
			}
			else {
				this.handed = 0;
			}
		}

		// Nodes may leave for the next coordinator before this one hands over to it.
		void limitLevel(double previousShare, double share, long now) {
			this.level = Math.min(this.level, previousShare * capacity());
			double excess = this.level - share * capacity();
			if (excess > 0) {
				this.retained = Math.min(capacity(), this.retained + excess);
				this.retainedUntil = now + AllotmentTimes.HANDOVER;
				this.level -= excess;
			}
			else if (now - this.retainedUntil >= 0) {
				this.retained = 0;
			}
		}

		void addStartCredit(double startedShare) {
			double longest = START_CREDIT_REQUESTS + START_CREDIT_SECONDS * this.allotment.requestsPerSecond();
			this.startCredit = Math.min(longest, this.startCredit + startedShare * longest);
		}

		double left() {
			return this.level - this.reserved;
		}

		// The lower limit keeps a malformed report from closing the workspace for long.
		void charge(long tokens, double share, int members) {
			double lowest = -capacity() - AllotmentTokens.MAXIMUM_CREDITS * (double) members;
			// Nodes that leave report what they have spent after their share was
			// retained.
			double covered = Math.max(0, Math.min(this.retained, tokens));
			this.retained -= covered;
			this.level = Math.max(lowest, Math.min(this.level - tokens + covered, share * capacity()));
		}

		int credits(int members) {
			double rate = this.allotment.requestsPerSecond();
			double reopening = this.calm ? 0 : 1 + REOPENING_SECONDS * rate;
			this.calm = this.level >= reopening + Math.min(LARGEST_CALM_SHARE * capacity(), 1 + CALM_SECONDS * rate);
			this.reopened = this.calm && (this.reopened || reopening > 0);
			if (this.calm) {
				this.startCredit = 0;
			}
			double left = left();
			int least = (this.handed + left >= 1 && this.handed > 0) ? INITIAL_CREDITS : 0;
			if (left < 1) {
				return Math.max(least, startCredits(left, members));
			}
			int covered = (int) ((AllotmentTolerance.credit(this.allotment) + left) / members);
			// Powers of two, so that small changes cause no notices.
			int credits = Integer.highestOneBit(Math.min(AllotmentTokens.MAXIMUM_CREDITS, covered));
			return this.calm ? Math.max(CALM_CREDITS, credits)
					: Math.max(Math.max(least, startCredits(left, members)), credits);
		}

		boolean takeReopened() {
			boolean taken = this.reopened;
			this.reopened = false;
			return taken;
		}

		private int startCredits(double left, int members) {
			double covered = left + this.startCredit;
			if (this.startCredit <= 0 || covered <= 0) {
				return 0;
			}
			return Integer.highestOneBit(
					(int) Math.min(AllotmentTokens.MAXIMUM_CREDITS, LEAST_START_CREDITS + covered / members));
		}

		long wait(double share) {
			double rate = this.allotment.requestsPerSecond() * share;
			double seconds = (Math.max(0, 1 - left()) + this.unmet) / rate;
			return (long) Math.min(MAXIMUM_WAIT, seconds * NANOSECONDS_PER_SECOND);
		}

	}

	/** State of one workspace at one node. */
	private static final class Holding {

		private final Deque<OpenGrant> open = new ArrayDeque<>(1);

		private int reserved;

		private int unmet;

		private long spent;

		private long assumedSpent;

		private long reported;

	}

	/**
	 * Grant that the node has not confirmed.
	 *
	 * @param sequence number of the report
	 * @param tokens tokens
	 */
	private record OpenGrant(long sequence, int tokens) {

	}

	/** One node that follows this coordinator. */
	private static final class Reporter {

		/** Grants whose time is known. */
		private static final int MAXIMUM_ANSWERS = 64;

		private final long session;

		private final Map<WorkspaceName, Holding> holdings = new HashMap<>();

		private final Deque<Answer> answers = new ArrayDeque<>();

		private byte[] told = new byte[0];

		/** Answers in which reduced credits were sent, until they are confirmed. */
		private final Map<Bucket, Long> reductions = new HashMap<>();

		private long sequence;

		private long acknowledged;

		private boolean counted;

		private boolean confirmed;

		private long confirmedTime;

		Reporter(long session) {
			this.session = session;
		}

		void accept(AllotmentReport report, long now) {
			this.sequence = report.sequence();
			this.acknowledged = Math.max(this.acknowledged, report.acknowledged());
			this.counted = report.counted() && !report.leaving();
			while (!this.answers.isEmpty() && this.answers.peek().sequence() <= this.acknowledged) {
				this.confirmed = true;
				this.confirmedTime = this.answers.poll().time();
			}
			if (this.answers.size() >= MAXIMUM_ANSWERS) {
				this.answers.poll();
			}
			this.answers.add(new Answer(this.sequence, now));
		}

		// Number 1 is the first report since the node started, so it has followed no
		// other coordinator.
		boolean starting(AllotmentReport report) {
			return this.session == 1 && !report.counted();
		}

		boolean countedAt(long now) {
			return this.counted && this.confirmed && now - this.confirmedTime < AllotmentTimes.COUNTED;
		}

		// Whether the node may not know that its credit was reduced.
		private boolean unconfirmedNotice(Bucket bucket, long answer) {
			Long sent = this.reductions.get(bucket);
			if (sent == null) {
				return false;
			}
			if (sent != 0 && sent <= this.acknowledged) {
				this.reductions.remove(bucket);
				return false;
			}
			return sent != answer;
		}

		int told(int index) {
			return (index < this.told.length) ? this.told[index] : 0;
		}

		// A sequence of 0 stands for a notice.
		void tell(Bucket bucket, int credits, long answer) {
			int index = bucket.index;
			if (credits < told(index) || this.reductions.containsKey(bucket)) {
				this.reductions.put(bucket, answer);
			}
			bucket.highestTold = Math.max(bucket.highestTold, credits);
			if (index >= this.told.length) {
				this.told = Arrays.copyOf(this.told, index + 16);
			}
			this.told[index] = (byte) credits;
		}

		private record Answer(long sequence, long time) {

		}

	}

}
