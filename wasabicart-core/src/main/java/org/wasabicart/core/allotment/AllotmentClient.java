package org.wasabicart.core.allotment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.wasabicart.core.workspace.WorkspaceName;

/**
 * Decides at one node whether a request is within the allotment of its workspace, with
 * the tokens and credits that a coordinator has granted. Never waits for an answer.
 * Addresses demand that differs between nodes, also at nodes that see a workspace so
 * rarely that they hold no tokens for it.
 */
public final class AllotmentClient {

	/** Requests in a second from which a node asks for tokens; fewer run on credit. */
	private static final int REQUESTS_FOR_TOKENS = 2;

	/**
	 * Requests since the last report from which as many are expected until the next one.
	 */
	private static final int REQUESTS_FOR_RISE = 3;

	/** Time after a refusal for which a token is asked for the caller's return. */
	private static final long TOKEN_AFTER_REFUSAL = TimeUnit.MILLISECONDS.toNanos(500);

	/** Round trip of a report between regions, with some delay at both nodes. */
	private static final long ROUND_TRIP = TimeUnit.MILLISECONDS.toNanos(30);

	/** Share of the wanted tokens below which further ones are asked for early. */
	private static final double EARLY_REPORT_SHARE = 0.3;

	/**
	 * Requests on credit until the first answer of a coordinator: some may come before
	 * it.
	 */
	private static final int FIRST_CREDITS = 3;

	/**
	 * Time at the fixed share that is lent on credit in addition, for nodes with a large
	 * part of the demand.
	 */
	private static final double FIRST_CREDIT_SECONDS = 0.1;

	/** Reports whose grants may still arrive. */
	private static final int MAXIMUM_OPEN_REPORTS = 32;

	/** Shortest delay before a caller should retry. */
	private static final long SHORTEST_RETRY = TimeUnit.MILLISECONDS.toNanos(20);

	/** Share of its remaining time for which a caller waits. */
	private static final int CALLER_WAIT_DIVISOR = 3;

	private final RandomGenerator random;

	private final Map<WorkspaceName, State> states = new HashMap<>();

	/** Workspaces with recent demand or a state that the coordinator does not know. */
	private final Set<State> activeStates = new LinkedHashSet<>();

	private final TreeMap<Long, Long> openReports = new TreeMap<>();

	private boolean configured;

	private int members = 1;

	private long sequence;

	private long session;

	private long acknowledged;

	private boolean following;

	/** Time of the last grant of an earlier session, or of the start of this node. */
	private long lastOther;

	/** Whether no earlier coordinator counts this node. */
	private boolean released;

	/** Last report of the previous session, 0 if its answer is not awaited. */
	private long leavingSequence;

	private long lastGrant;

	private long lastReport;

	private boolean reported;

	/** Whether a coordinator has answered since the start of this node. */
	private boolean answered;

	private long aloneSince;

	/**
	 * Whether the coordinator has handed over, so that nobody lends for this node until
	 * it follows the next one.
	 */
	private boolean handedOver;

	private long handedOverSince;

	/** Whether the coordinator knows that this node counts for its share. */
	private boolean countedReported;

	/**
	 * End of the credit of earlier sessions. It stays valid as without a change of the
	 * coordinator, since a new one opens credit only once enough nodes follow it.
	 */
	private long earlierCreditEnd;

	/** First report after a pause, 0 once its answer is known. */
	private long firstAfterPause;

	/**
	 * Creates a client.
	 * @param random random source
	 * @param now current time in nanoseconds
	 */
	public AllotmentClient(RandomGenerator random, long now) {
		this.random = Objects.requireNonNull(random, "random");
		this.lastGrant = now;
		this.lastOther = now;
		this.aloneSince = now;
	}

	/**
	 * Replaces the allotments. A new workspace gets one credit, since the coordinator
	 * opens its credit with the next grants only; a node that has just started cannot
	 * know which workspaces are new.
	 * @param allotments allotments of the limited workspaces
	 * @param now current time in nanoseconds
	 */
	public void configure(Map<WorkspaceName, Allotment> allotments, long now) {
		this.states.keySet().retainAll(allotments.keySet());
		this.activeStates.retainAll(this.states.values());
		allotments.forEach((name, allotment) -> {
			State state = this.states.get(name);
			if (state == null) {
				state = new State(name);
				state.initialCredit = this.configured;
				state.initialCreditEnd = now + AllotmentTimes.CONFIGURATION_SPREAD;
				this.states.put(name, state);
			}
			state.allotment = allotment;
		});
		this.configured = true;
	}

	/**
	 * Returns whether any workspace is limited.
	 * @return whether reports are needed
	 */
	public boolean active() {
		return !this.states.isEmpty();
	}

	/**
	 * Sets the number of known nodes.
	 * @param count nodes of the fleet with this one, also those that were lost recently
	 */
	public void members(int count) {
		this.members = Math.max(1, count);
	}

	/**
	 * Starts a session with a coordinator. Must be called when the coordinator or the
	 * connection to it changes.
	 * @param now current time in nanoseconds
	 */
	public void startSession(long now) {
		if (this.following) {
			endSession(now);
		}
		this.following = true;
		this.handedOver = false;
		this.session = this.sequence + 1;
		this.acknowledged = 0;
		this.reported = false;
	}

	/**
	 * Ends the session. Tokens stay valid until they expire, and requests on credit that
	 * have not been confirmed are charged by the next coordinator.
	 * @param now current time in nanoseconds
	 */
	public void endSession(long now) {
		if (!this.following) {
			return;
		}
		this.following = false;
		this.openReports.clear();
		this.earlierCreditEnd = this.lastGrant + AllotmentTimes.CREDIT_VALID;
		if (this.acknowledged > 0 && !this.handedOver) {
			this.lastOther = this.lastGrant;
			this.released = false;
		}
		this.states.values().forEach((state) -> {
			state.sessionEnded(now);
			if (state.spent > 0) {
				this.activeStates.add(state);
			}
		});
	}

	/**
	 * The coordinator of the session no longer counts this node and lends no more. The
	 * credit that it has opened may be used once until this node follows the next one.
	 * @param now current time in nanoseconds
	 */
	private void release(long now) {
		this.released = true;
		this.acknowledged = 0;
		this.earlierCreditEnd = now + AllotmentTimes.CREDIT_VALID;
		this.states.values().forEach(State::closeCredit);
	}

	/**
	 * Discards all tokens, since the process did not run for some time and the clock may
	 * have stood still. Credits are valid again after the next report is answered.
	 */
	public void pauseEnded() {
		this.states.values().forEach(State::discard);
		this.firstAfterPause = this.sequence + 1;
		this.reported = false;
	}

	/**
	 * Decides on a request and counts it if it is admitted.
	 * @param workspace workspace of the request
	 * @param callerRemaining time in nanoseconds until the caller's deadline
	 * @param now current time in nanoseconds
	 * @return the decision
	 */
	public AllotmentDecision admit(WorkspaceName workspace, long callerRemaining, long now) {
		State state = this.states.get(workspace);
		if (state == null) {
			return new AllotmentDecision(AllotmentDecision.Basis.UNLIMITED, 0, 0);
		}
		this.activeStates.add(state);
		state.demand.record(now);
		if (state.takeEarlierToken(now)) {
			return new AllotmentDecision(AllotmentDecision.Basis.TOKEN, 0, 0);
		}
		if (state.takeToken(now)) {
			return new AllotmentDecision(AllotmentDecision.Basis.TOKEN, this.session, 0);
		}
		if (creditValid(now) && state.takeCredit() || earlierCreditValid(now) && state.takeEarlierCredit()) {
			return new AllotmentDecision(AllotmentDecision.Basis.CREDIT, this.session, 0);
		}
		boolean coordinated = this.answered && !state.unlisted;
		if (state.takeInitialCredit(now)
				|| !this.answered && this.firstAfterPause == 0 && state.takeFirstCredit(this.members)) {
			return new AllotmentDecision(AllotmentDecision.Basis.CREDIT, this.session, 0);
		}
		if ((!coordinated || this.handedOver || !heard(now))
				&& state.takeFixedShare(fixedShareStart(state), this.members, now)) {
			return new AllotmentDecision(AllotmentDecision.Basis.FIXED_SHARE, 0, 0);
		}
		state.refused = true;
		state.lastRefusal = now;
		return new AllotmentDecision(AllotmentDecision.Basis.REFUSED, 0, retryDelay(state, callerRemaining, now));
	}

	private long fixedShareStart(State state) {
		if (!this.answered) {
			return this.aloneSince;
		}
		if (this.handedOver) {
			return this.handedOverSince;
		}
		return state.unlisted ? state.unlistedSince : Math.max(this.lastGrant + AllotmentTimes.ALONE, this.aloneSince);
	}

	private boolean creditValid(long now) {
		return now - this.lastGrant < AllotmentTimes.CREDIT_VALID && this.acknowledged > 0 && this.firstAfterPause == 0;
	}

	private boolean earlierCreditValid(long now) {
		return now - this.earlierCreditEnd < 0 && this.firstAfterPause == 0;
	}

	private long retryDelay(State state, long callerRemaining, long now) {
		long expected = Math.max(SHORTEST_RETRY + ROUND_TRIP, state.roomAt - now);
		long longest = callerRemaining / CALLER_WAIT_DIVISOR;
		if (longest <= SHORTEST_RETRY) {
			return expected;
		}
		// Demand is met one request after the other, so callers come back during that
		// time.
		long end = Math.min(longest, 2 * expected);
		long start = Math.min(expected / 2, end / 2);
		return Math.max(SHORTEST_RETRY, this.random.nextLong(start, end + 1));
	}

	/**
	 * Returns the permission of a request that was refused before it ran.
	 * @param workspace workspace of the request
	 * @param decision decision on the request
	 */
	public void returned(WorkspaceName workspace, AllotmentDecision decision) {
		State state = this.states.get(workspace);
		if (state == null) {
			return;
		}
		if (decision.basis() == AllotmentDecision.Basis.FIXED_SHARE) {
			state.fixedTokens++;
		}
		else if (decision.session() == this.session && decision.session() != 0 && state.spent > 0) {
			// The next report tells the coordinator that fewer requests have run.
			state.spent--;
			this.activeStates.add(state);
		}
	}

	/**
	 * Returns whether a report should be sent.
	 * @param now current time in nanoseconds
	 * @return whether it is due
	 */
	public boolean reportDue(long now) {
		if (!this.following || this.states.isEmpty()) {
			return false;
		}
		long since = now - this.lastReport;
		if (!this.reported || since >= AllotmentTimes.IDLE_REPORT_INTERVAL) {
			return true;
		}
		if (since < AllotmentTimes.SHORTEST_REPORT_INTERVAL) {
			return false;
		}
		if (!this.countedReported && this.acknowledged > 0 && counted(now)) {
			return true;
		}
		long interval = AllotmentTimes.interval(this.members);
		for (State state : this.activeStates) {
			if (state.reportDue(since, interval, AllotmentTimes.creditDelay(this.members), now)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Makes a report.
	 * @param now current time in nanoseconds
	 * @return the report
	 */
	public AllotmentReport report(long now) {
		return report(false, now);
	}

	/**
	 * Makes the last report of the session.
	 * @param now current time in nanoseconds
	 * @return the report
	 */
	public AllotmentReport lastReport(long now) {
		AllotmentReport report = report(true, now);
		// Otherwise an earlier coordinator may still count this node.
		this.leavingSequence = report.counted() ? report.sequence() : 0;
		return report;
	}

	private AllotmentReport report(boolean leaving, long now) {
		this.sequence++;
		this.reported = true;
		this.countedReported = this.acknowledged > 0 && counted(now);
		this.lastReport = now;
		this.openReports.put(this.sequence, now);
		if (this.openReports.size() > MAXIMUM_OPEN_REPORTS) {
			this.openReports.pollFirstEntry();
		}
		long interval = AllotmentTimes.interval(this.members);
		List<State> changed = new ArrayList<>();
		this.activeStates.removeIf((state) -> {
			boolean stateChanged = state.changed(interval, now);
			if (stateChanged) {
				changed.add(state);
			}
			return !stateChanged && state.demand.lastSecond(now) == 0;
		});
		if (changed.size() > AllotmentReport.MAXIMUM_DEMANDS) {
			changed.sort(Comparator.comparingLong((state) -> state.listed));
		}
		List<AllotmentDemand> demands = changed.stream()
			.limit(AllotmentReport.MAXIMUM_DEMANDS)
			.map((state) -> state.list(this.sequence, interval, now))
			.toList();
		return new AllotmentReport(this.sequence, this.session, this.acknowledged, counted(now), leaving, demands,
				List.of());
	}

	private boolean counted(long now) {
		return this.released || now - this.lastOther >= AllotmentTimes.ALONE;
	}

	/**
	 * Uses a grant. Grants of earlier sessions, and late and doubled ones, are ignored.
	 * @param grant grant
	 * @param now current time in nanoseconds
	 */
	public void granted(AllotmentGrant grant, long now) {
		if (grant.sequence() == this.leavingSequence && !grant.notice()) {
			this.leavingSequence = 0;
			this.released = true;
			return;
		}
		if (!this.following) {
			return;
		}
		if (grant.notice()) {
			grant.tokens().forEach((tokens) -> {
				State state = this.states.get(tokens.workspace());
				if (state != null) {
					// Before the first answer, credit of this session is not valid.
					state.credits(
							(this.acknowledged > 0) ? tokens.credits() : Math.min(state.credits, tokens.credits()));
				}
			});
			return;
		}
		Long sent = this.openReports.get(grant.sequence());
		if (sent == null || grant.sequence() <= this.acknowledged || grant.sequence() < this.session) {
			return;
		}
		this.openReports.headMap(grant.sequence(), true).clear();
		if (grant.stopping() && grant.tokens().isEmpty()) {
			handedOver(now);
			return;
		}
		this.handedOver = false;
		this.acknowledged = grant.sequence();
		if (grant.sequence() >= this.firstAfterPause) {
			this.firstAfterPause = 0;
		}
		this.answered = true;
		this.lastGrant = Math.max(this.lastGrant, now);
		long expiry = sent + AllotmentTimes.tokenLife(this.members);
		for (AllotmentTokens tokens : grant.tokens()) {
			State state = this.states.get(tokens.workspace());
			if (state != null) {
				state.granted(tokens, grant.sequence(), expiry, now);
				this.activeStates.add(state);
			}
		}
		if (!grant.stopping()) {
			this.activeStates.forEach((state) -> state.answered(grant.sequence(), now));
		}
		this.activeStates.forEach((state) -> state.confirmed(grant.sequence()));
		if (grant.stopping()) {
			release(now);
		}
	}

	// The report was not charged, so nothing is confirmed: the next coordinator charges
	// it.
	private void handedOver(long now) {
		if (!this.handedOver) {
			this.handedOver = true;
			this.handedOverSince = now;
			release(now);
		}
		this.answered = true;
		this.lastGrant = Math.max(this.lastGrant, now);
	}

	/**
	 * Returns whether a coordinator has answered recently.
	 * @param now current time in nanoseconds
	 * @return whether it has
	 */
	public boolean heard(long now) {
		return now - this.lastGrant < AllotmentTimes.ALONE;
	}

	/**
	 * Returns the tokens that this node holds.
	 * @param workspace workspace
	 * @param now current time in nanoseconds
	 * @return the number of tokens
	 */
	public int tokens(WorkspaceName workspace, long now) {
		State state = this.states.get(workspace);
		return (state != null) ? state.held(now) : 0;
	}

	/**
	 * Returns the requests that this node may admit on credit.
	 * @param workspace workspace
	 * @param now current time in nanoseconds
	 * @return the number of requests
	 */
	public int credit(WorkspaceName workspace, long now) {
		State state = this.states.get(workspace);
		if (state == null) {
			return 0;
		}
		int open = creditValid(now) ? Math.max(0, state.credits - state.unconfirmed()) : 0;
		return open + (earlierCreditValid(now) ? state.earlierCredits : 0);
	}

	/** State of one workspace. */
	private static final class State {

		private final WorkspaceName workspace;

		private final DemandWindow demand = new DemandWindow();

		private Allotment allotment = Allotment.NONE;

		private int held;

		private long expiry;

		/** Tokens of earlier sessions, which are not reported. */
		private int earlier;

		private long earlierExpiry;

		private long spent;

		private int credits;

		/**
		 * Requests that may still run on the credit of earlier sessions. A confirmation
		 * does not renew them: the coordinator that gives it has not opened this credit.
		 */
		private int earlierCredits;

		/** Whether a new workspace may send a request before the coordinator knows it. */
		private boolean initialCredit;

		private long initialCreditEnd;

		private long creditSpent;

		private long creditConfirmed;

		/** Oldest report that is not confirmed, and the latest one after it. */
		private Listing first;

		private Listing last;

		private long spentConfirmed;

		/** Whether the coordinator knows that no tokens are held or wanted. */
		private boolean settled = true;

		private long listed;

		private boolean refused;

		private long lastRefusal;

		private long roomAt;

		/**
		 * Whether the coordinator has left the workspace out of its last answer, since it
		 * does not have the configuration yet.
		 */
		private boolean unlisted;

		private long unlistedSince;

		private long lastListedAnswer;

		private int firstCredits;

		private double fixedTokens;

		private long fixedTime;

		private long fixedStart;

		State(WorkspaceName workspace) {
			this.workspace = workspace;
		}

		int held(long now) {
			if (this.held > 0 && now - this.expiry >= 0) {
				this.held = 0;
			}
			if (this.earlier > 0 && now - this.earlierExpiry >= 0) {
				this.earlier = 0;
			}
			return this.held + this.earlier;
		}

		boolean takeEarlierToken(long now) {
			held(now);
			if (this.earlier == 0) {
				return false;
			}
			this.earlier--;
			return true;
		}

		boolean takeToken(long now) {
			held(now);
			if (this.held == 0) {
				return false;
			}
			this.held--;
			this.spent++;
			return true;
		}

		int unconfirmed() {
			return (int) (this.creditSpent - this.creditConfirmed);
		}

		boolean takeCredit() {
			if (unconfirmed() >= this.credits) {
				return false;
			}
			this.creditSpent++;
			this.spent++;
			return true;
		}

		boolean takeEarlierCredit() {
			if (this.earlierCredits == 0) {
				return false;
			}
			this.earlierCredits--;
			this.creditSpent++;
			this.spent++;
			return true;
		}

		boolean takeInitialCredit(long now) {
			if (!this.initialCredit || now - this.initialCreditEnd >= 0) {
				return false;
			}
			this.initialCredit = false;
			this.creditSpent++;
			this.spent++;
			return true;
		}

		boolean takeFirstCredit(int members) {
			int limit = FIRST_CREDITS + (int) (FIRST_CREDIT_SECONDS * this.allotment.requestsPerSecond() / members);
			if (this.firstCredits >= limit) {
				return false;
			}
			this.firstCredits++;
			this.creditSpent++;
			this.spent++;
			return true;
		}

		boolean takeFixedShare(long start, int members, long now) {
			if (start != this.fixedStart) {
				this.fixedStart = start;
				this.fixedTime = start;
				this.fixedTokens = 0;
			}
			double seconds = Math.max(0, now - this.fixedTime) / (double) TimeUnit.SECONDS.toNanos(1);
			double largest = Math.max(1, this.allotment.burst() / members);
			this.fixedTokens = Math.min(largest,
					this.fixedTokens + seconds * this.allotment.requestsPerSecond() / members);
			this.fixedTime = now;
			if (this.fixedTokens < 1) {
				return false;
			}
			this.fixedTokens--;
			return true;
		}

		void discard() {
			this.initialCredit = false;
			this.held = 0;
			this.earlier = 0;
			this.fixedTokens = 0;
			this.earlierCredits = 0;
		}

		/**
		 * Leaves the credit that is not used to the time until the next one is opened.
		 */
		void closeCredit() {
			this.earlierCredits = Math.max(this.earlierCredits, this.credits - unconfirmed());
			this.credits = 0;
		}

		void sessionEnded(long now) {
			held(now);
			this.earlier += this.held;
			this.earlierExpiry = this.expiry;
			this.held = 0;
			closeCredit();
			this.spent = unconfirmed();
			this.creditSpent = this.spent;
			this.initialCredit = false;
			this.creditConfirmed = 0;
			this.spentConfirmed = 0;
			this.first = null;
			this.last = null;
			this.settled = true;
		}

		int wanted(long interval, long now) {
			int target = target(interval, now);
			held(now);
			return Math.max(0, target - this.held);
		}

		private int target(long interval, long now) {
			boolean refusedRecently = this.refused && now - this.lastRefusal < TOKEN_AFTER_REFUSAL;
			int recent = this.demand.lastSecond(now);
			if (recent < REQUESTS_FOR_TOKENS) {
				return refusedRecently ? 1 : 0;
			}
			double expected = recent * (double) (interval + ROUND_TRIP) / TimeUnit.SECONDS.toNanos(1);
			int risen = this.demand.sinceReport();
			double mean = (risen >= REQUESTS_FOR_RISE) ? Math.max(expected, risen) : expected;
			if (mean < 1) {
				return refusedRecently ? 1 : 0;
			}
			return (int) Math.ceil(mean * 1.1 + Math.sqrt(mean));
		}

		boolean reportDue(long since, long interval, long creditDelay, long now) {
			Listing latest = (this.last != null) ? this.last : this.first;
			long unreported = this.creditSpent - ((latest != null) ? latest.creditSpent() : this.creditConfirmed);
			if (unreported > 0 && (unconfirmed() >= this.credits || since >= creditDelay)) {
				return true;
			}
			if (since >= interval) {
				return changed(interval, now);
			}
			if (this.demand.sinceReport() == 0) {
				return false;
			}
			int target = target(interval, now);
			return target > 0 && this.held <= target * EARLY_REPORT_SHARE;
		}

		boolean changed(long interval, long now) {
			held(now);
			return this.spent != this.spentConfirmed || this.held > 0 || !this.settled || wanted(interval, now) > 0;
		}

		AllotmentDemand list(long sequence, long interval, long now) {
			int wanted = wanted(interval, now);
			// Tokens that are no longer needed are returned with the report.
			this.held = Math.min(this.held, target(interval, now));
			this.demand.reported();
			this.refused = this.refused && now - this.lastRefusal < TOKEN_AFTER_REFUSAL;
			this.listed = sequence;
			Listing listing = new Listing(sequence, this.creditSpent, this.spent, this.held == 0 && wanted == 0);
			if (this.first == null) {
				this.first = listing;
			}
			else {
				this.last = listing;
			}
			this.settled = false;
			return new AllotmentDemand(this.workspace, wanted, this.held, this.spent);
		}

		// Credit that the coordinator opens takes the place of as much earlier credit.
		void credits(int opened) {
			this.earlierCredits = Math.max(0, this.earlierCredits - Math.max(0, opened - this.credits));
			this.credits = opened;
			this.initialCredit = false;
		}

		void granted(AllotmentTokens tokens, long grantSequence, long newExpiry, long now) {
			credits(tokens.credits());
			this.unlisted = false;
			this.lastListedAnswer = grantSequence;
			if (tokens.waitNanoseconds() > 0) {
				this.roomAt = now + tokens.waitNanoseconds();
			}
			if (tokens.tokens() > 0) {
				held(now);
				// No coordinator grants more than a bucket.
				this.held += (int) Math.min(tokens.tokens(), AllotmentTolerance.capacity(this.allotment));
			}
			if (this.held > 0 && newExpiry - this.expiry > 0 && this.listed >= grantSequence) {
				this.expiry = newExpiry;
			}
		}

		// To be called before the listing of the report is dropped.
		void answered(long sequence, long now) {
			boolean reported = this.first != null && this.first.sequence() == sequence
					|| this.last != null && this.last.sequence() == sequence;
			if (reported && this.lastListedAnswer != sequence && !this.unlisted) {
				this.unlisted = true;
				this.unlistedSince = now;
			}
		}

		void confirmed(long sequence) {
			if (this.first == null || sequence < this.first.sequence()) {
				return;
			}
			Listing confirmed = this.first;
			this.first = this.last;
			this.last = null;
			if (this.first != null && sequence >= this.first.sequence()) {
				confirmed = this.first;
				this.first = null;
			}
			this.creditConfirmed = confirmed.creditSpent();
			this.spentConfirmed = confirmed.spent();
			this.settled = this.first == null && confirmed.empty() && this.held == 0;
		}

	}

	/**
	 * What a report has told about one workspace.
	 *
	 * @param sequence number of the report
	 * @param creditSpent requests admitted on credit
	 * @param spent requests counted
	 * @param empty whether no tokens were held or wanted
	 */
	private record Listing(long sequence, long creditSpent, long spent, boolean empty) {

	}

	/** Requests of the last second, in tenths of a second. */
	private static final class DemandWindow {

		private static final int SLOTS = 10;

		private static final long SLOT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

		private final int[] counts = new int[SLOTS];

		private long currentSlot;

		private int total;

		private int sinceReport;

		void record(long now) {
			advance(now);
			this.counts[Math.floorMod(this.currentSlot, SLOTS)]++;
			this.total++;
			this.sinceReport++;
		}

		int lastSecond(long now) {
			advance(now);
			return this.total;
		}

		int sinceReport() {
			return this.sinceReport;
		}

		void reported() {
			this.sinceReport = 0;
		}

		private void advance(long now) {
			long slot = Math.floorDiv(now, SLOT_NANOSECONDS);
			long passed = slot - this.currentSlot;
			for (long i = 1; i <= Math.min(passed, SLOTS); i++) {
				int index = Math.floorMod(this.currentSlot + i, SLOTS);
				this.total -= this.counts[index];
				this.counts[index] = 0;
			}
			if (passed > 0) {
				this.currentSlot = slot;
			}
		}

	}

}
