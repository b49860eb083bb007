package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.wasabicart.core.mesh.MemberStatus;

/**
 * Sends the requests of the entry, and sends an idempotent request to a second server if
 * the first one takes far longer than expected. The first answer counts, and the other
 * copy is cancelled. Handles single servers that have become several times slower: their
 * requests otherwise wait until the timeout of the route. Needs the learned capacity of
 * servers, which includes how long calls should take.
 */
final class EarlyRepeats {

	/**
	 * Share of the request's time that must be left for the second copy, which otherwise
	 * ends too late as well and takes room from others.
	 */
	private static final double LEAST_REMAINING_SHARE = 1 / 3.0;

	private static final int FIRST_ERROR_STATUS = 500;

	private final boolean enabled;

	private final Sender sender;

	private final Expectation expectation;

	/** Requests that may get a second copy. */
	private final Set<Race> candidates = new LinkedHashSet<>();

	EarlyRepeats(boolean enabled, Sender sender, Expectation expectation) {
		this.enabled = enabled;
		this.sender = Objects.requireNonNull(sender, "sender");
		this.expectation = Objects.requireNonNull(expectation, "expectation");
	}

	/**
	 * Sends a request.
	 * @param copy server and call
	 * @param request receives the result, possibly before this returns
	 * @param now current time in nanoseconds
	 * @return handle to cancel all copies
	 */
	CallHandle send(Copy copy, Request request, long now) {
		if (!this.enabled || !copy.call().idempotent()) {
			return this.sender.send(copy.member(), copy.call(), (result) -> request.ended(copy.member(), result));
		}
		Race race = new Race(copy, request, now);
		this.candidates.add(race);
		race.send(copy);
		return race::cancel;
	}

	/**
	 * Sends further copies of requests that take far longer than expected.
	 * @param now current time in nanoseconds
	 */
	void tick(long now) {
		for (Race race : List.copyOf(this.candidates)) {
			race.tick(now);
		}
	}

	int candidates() {
		return this.candidates.size();
	}

	/**
	 * One request with one or two copies.
	 */
	private final class Race {

		private final Copy first;

		private final Request request;

		private final long start;

		private final List<RunningCopy> running = new ArrayList<>(2);

		private MemberStatus failedMember;

		private CallResult failure;

		private boolean ended;

		Race(Copy first, Request request, long start) {
			this.first = first;
			this.request = request;
			this.start = start;
		}

		private void send(Copy copy) {
			RunningCopy added = new RunningCopy(copy.member());
			this.running.add(added);
			added.handle = EarlyRepeats.this.sender.send(copy.member(), copy.call(),
					(result) -> copyEnded(added, result));
		}

		private void tick(long now) {
			long deadline = this.first.call().deadline();
			if (deadline - now < (deadline - this.start) * LEAST_REMAINING_SHARE) {
				EarlyRepeats.this.candidates.remove(this);
				return;
			}
			if (!this.ended && EarlyRepeats.this.expectation.exceeded(this.first.member(), this.first.call().route(),
					now - this.start, now)) {
				this.request.secondCopy(now).ifPresent((copy) -> {
					EarlyRepeats.this.candidates.remove(this);
					send(copy);
				});
			}
		}

		private void copyEnded(RunningCopy copy, CallResult result) {
			if (this.ended) {
				return;
			}
			this.running.remove(copy);
			boolean failed = result instanceof CallResult.Failed
					|| result instanceof CallResult.Answered answered && answered.status() >= FIRST_ERROR_STATUS;
			boolean succeeded = !failed && !(result instanceof CallResult.Refused);
			if (!succeeded && !this.running.isEmpty()) {
				if (failed) {
					this.failedMember = copy.member;
					this.failure = result;
				}
				return;
			}
			end();
			// A refusal promises that the request has not run, which is not known here.
			if (result instanceof CallResult.Refused && this.failure != null) {
				this.request.ended(this.failedMember, this.failure);
				return;
			}
			if (this.failure != null) {
				this.failedMember.recordOutcome(true);
			}
			this.request.ended(copy.member, result);
		}

		private void end() {
			this.ended = true;
			EarlyRepeats.this.candidates.remove(this);
			this.running.forEach((copy) -> copy.handle.cancel());
			this.running.clear();
		}

		private void cancel() {
			if (!this.ended) {
				end();
			}
		}

	}

	/**
	 * One copy that has no result yet.
	 */
	private static final class RunningCopy {

		private final MemberStatus member;

		private CallHandle handle;

		RunningCopy(MemberStatus member) {
			this.member = member;
		}

	}

	/**
	 * A call and the server for it.
	 *
	 * @param member server
	 * @param call call
	 */
	record Copy(MemberStatus member, Call call) {

	}

	/**
	 * A request of a caller.
	 */
	interface Request {

		/**
		 * Decides on a second copy. Once one is returned, it counts as sent.
		 * @param now current time in nanoseconds
		 * @return the copy, or empty if none may be sent now
		 */
		Optional<Copy> secondCopy(long now);

		/**
		 * Handles the result of the request.
		 * @param member server that gave the result
		 * @param result result
		 */
		void ended(MemberStatus member, CallResult result);

	}

	/**
	 * Sends a call to a server.
	 */
	@FunctionalInterface
	interface Sender {

		/**
		 * Sends a call.
		 * @param member server
		 * @param call call
		 * @param listener receives the result
		 * @return handle to cancel the call
		 */
		CallHandle send(MemberStatus member, Call call, CallListener listener);

	}

	/**
	 * Tells how long calls should take.
	 */
	@FunctionalInterface
	interface Expectation {

		/**
		 * Returns whether a call has run for far longer than expected.
		 * @param member server that runs the call
		 * @param route name of the route
		 * @param elapsed time since the call was sent in nanoseconds
		 * @param now current time in nanoseconds
		 * @return whether another server would probably have answered
		 */
		boolean exceeded(MemberStatus member, String route, long elapsed, long now);

	}

}
