package org.wasabicart.standin.caller;

import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wasabicart.standin.http.AnswerCheck;
import org.wasabicart.standin.http.Answers;

/**
 * One request of a caller with its attempts. Attempts follow one another, so there is no
 * concurrent access.
 */
final class Caller {

	private static final int OK = 200;

	private static final Duration RESULT_TIMEOUT = Duration.ofSeconds(1);

	private final CallerClient client;

	private final CallerBehaviour behaviour;

	private final List<String> entryUrls;

	private final Arrival arrival;

	private final ScheduledExecutorService timer;

	private final Consumer<CallerRecord> listener;

	private final long scheduledNanoseconds;

	private final long sentMicroseconds = microseconds();

	private String ticket = "";

	private int attempts;

	private int entryChanges;

	private int status;

	private String execution = "";

	private String reason = "";

	private boolean someUnanswered;

	private boolean someRan;

	private boolean someUnknown;

	Caller(CallerClient client, CallerBehaviour behaviour, List<String> entryUrls, Arrival arrival,
			ScheduledExecutorService timer, long scheduledNanoseconds, Consumer<CallerRecord> listener) {
		this.client = client;
		this.behaviour = behaviour;
		this.entryUrls = entryUrls;
		this.arrival = arrival;
		this.timer = timer;
		this.scheduledNanoseconds = scheduledNanoseconds;
		this.listener = listener;
	}

	void start() {
		if (this.arrival.kind().order() && this.behaviour.orderTickets()) {
			reserve();
		}
		else {
			attempt();
		}
	}

	private void reserve() {
		this.client.reserveTicket(entryUrl(), timeout()).thenAccept((reserved) -> {
			this.ticket = reserved;
			if (reserved.isEmpty()) {
				this.entryChanges++;
				// Without a ticket nothing was sent that could run.
				this.attempts++;
				this.execution = "not-run";
				this.reason = "no-ticket";
				again();
			}
			else {
				attempt();
			}
		});
	}

	private void attempt() {
		this.attempts++;
		this.client.send(entryUrl(), this.arrival, this.ticket, timeout()).whenComplete((response, ex) -> {
			if (ex != null && !(cause(ex) instanceof HttpTimeoutException)) {
				// The entry node cannot be reached or ended; another one is tried.
				this.entryChanges++;
			}
			answered(response);
		});
	}

	private static Throwable cause(Throwable thrown) {
		return (thrown instanceof CompletionException) ? thrown.getCause() : thrown;
	}

	private void answered(HttpResponse<byte[]> response) {
		if (response == null) {
			this.someUnanswered = true;
			again();
			return;
		}
		this.status = response.statusCode();
		this.execution = response.headers().firstValue("Wasabicart-Execution").orElse("");
		this.reason = response.headers().firstValue("Wasabicart-Reason").orElse("");
		if (this.status == OK) {
			end(outcomeOf(response));
			return;
		}
		this.someRan |= this.execution.equals("ran");
		this.someUnknown |= this.execution.equals("unknown");
		again();
	}

	private CallerOutcome outcomeOf(HttpResponse<byte[]> response) {
		AnswerCheck check = Answers.check(response.body(), this.arrival.requestId(), this.arrival.path());
		return switch (check) {
			case COMPLETE -> CallerOutcome.COMPLETED;
			case PARTIAL -> CallerOutcome.PARTIAL_ANSWER;
			case WRONG -> CallerOutcome.WRONG_ANSWER;
		};
	}

	private void again() {
		// An order that may have run is repeated with its ticket only, which is safe.
		boolean mayRepeat = !this.arrival.kind().order() || !this.ticket.isEmpty() || onlyRefused();
		if (!mayRepeat || this.attempts >= this.behaviour.maximumAttempts() || remainingMilliseconds() <= 0) {
			giveUp();
			return;
		}
		long pause = ThreadLocalRandom.current().nextLong(2 * this.behaviour.pauseMilliseconds() + 1);
		boolean needsTicket = this.arrival.kind().order() && this.behaviour.orderTickets() && this.ticket.isEmpty();
		this.timer.schedule(needsTicket ? this::reserve : this::attempt, pause, TimeUnit.MILLISECONDS);
	}

	private void giveUp() {
		if (this.ticket.isEmpty() || onlyRefused()) {
			end(outcome());
			return;
		}
		this.client.result(entryUrl(), this.ticket, RESULT_TIMEOUT).whenComplete((response, ex) -> {
			boolean known = response != null && response.statusCode() == OK;
			end(known ? outcomeOf(response) : outcome());
		});
	}

	private boolean onlyRefused() {
		return !this.someUnanswered && !this.someRan && !this.someUnknown;
	}

	private CallerOutcome outcome() {
		if (this.someRan) {
			return CallerOutcome.FAILED;
		}
		if (this.someUnknown) {
			return CallerOutcome.UNKNOWN;
		}
		return this.someUnanswered ? CallerOutcome.TIMED_OUT : CallerOutcome.REFUSED;
	}

	private void end(CallerOutcome outcome) {
		this.listener.accept(new CallerRecord(this.arrival, outcome, this.status, this.execution, this.reason,
				this.ticket, this.attempts, this.sentMicroseconds, microseconds(),
				System.nanoTime() - this.scheduledNanoseconds));
	}

	private String entryUrl() {
		return this.entryUrls.get((this.arrival.entry() + this.entryChanges) % this.entryUrls.size());
	}

	private Duration timeout() {
		return Duration.ofMillis(Math.max(1, Math.min(this.behaviour.patienceMilliseconds(), remainingMilliseconds())));
	}

	private long remainingMilliseconds() {
		long elapsed = Duration.ofNanos(System.nanoTime() - this.scheduledNanoseconds).toMillis();
		return this.arrival.kind().deadlineMilliseconds() - elapsed;
	}

	private static long microseconds() {
		return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
	}

}
