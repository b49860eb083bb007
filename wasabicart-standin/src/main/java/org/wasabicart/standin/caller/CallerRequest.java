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
 * Sends one request of a caller, with its retries. Attempts run one after another, so the
 * fields need no synchronization.
 */
final class CallerRequest {

	private static final int OK = 200;

	private static final Duration RESULT_TIMEOUT = Duration.ofSeconds(1);

	private final CallerClient client;

	private final CallerBehaviour behaviour;

	private final List<String> entryUrls;

	private final Arrival arrival;

	private final ScheduledExecutorService scheduler;

	private final Consumer<CallerRecord> onEnd;

	private final long scheduledNanoseconds;

	private final long sentMicroseconds = epochMicroseconds();

	private String ticket = "";

	private int attempts;

	private int entryNodeChanges;

	private int lastStatus;

	private String lastExecution = "";

	private String lastReason = "";

	private boolean anyUnanswered;

	private boolean anyRan;

	private boolean anyExecutionUnknown;

	CallerRequest(CallerClient client, CallerBehaviour behaviour, List<String> entryUrls, Arrival arrival,
			ScheduledExecutorService scheduler, long scheduledNanoseconds, Consumer<CallerRecord> onEnd) {
		this.client = client;
		this.behaviour = behaviour;
		this.entryUrls = entryUrls;
		this.arrival = arrival;
		this.scheduler = scheduler;
		this.scheduledNanoseconds = scheduledNanoseconds;
		this.onEnd = onEnd;
	}

	void start() {
		if (this.arrival.kind().order() && this.behaviour.reservesTickets()) {
			reserveTicket();
		}
		else {
			sendAttempt();
		}
	}

	private void reserveTicket() {
		this.client.reserveTicket(entryUrl(), attemptTimeout()).thenAccept((reserved) -> {
			this.ticket = reserved;
			if (reserved.isEmpty()) {
				this.entryNodeChanges++;
				// Only the reservation was sent, so the order cannot have run.
				this.attempts++;
				this.lastExecution = "not-run";
				this.lastReason = "no-ticket";
				retryOrGiveUp();
			}
			else {
				sendAttempt();
			}
		});
	}

	private void sendAttempt() {
		this.attempts++;
		this.client.send(entryUrl(), this.arrival, this.ticket, attemptTimeout()).whenComplete((response, ex) -> {
			if (ex != null && !(unwrap(ex) instanceof HttpTimeoutException)) {
				// The connection was refused or lost: the next attempt goes to another
				// entry node.
				this.entryNodeChanges++;
			}
			handleResponse(response);
		});
	}

	private static Throwable unwrap(Throwable thrown) {
		return (thrown instanceof CompletionException) ? thrown.getCause() : thrown;
	}

	private void handleResponse(HttpResponse<byte[]> response) {
		if (response == null) {
			this.anyUnanswered = true;
			retryOrGiveUp();
			return;
		}
		this.lastStatus = response.statusCode();
		this.lastExecution = response.headers().firstValue("Wasabicart-Execution").orElse("");
		this.lastReason = response.headers().firstValue("Wasabicart-Reason").orElse("");
		if (this.lastStatus == OK) {
			finish(checkAnswer(response));
			return;
		}
		this.anyRan |= this.lastExecution.equals("ran");
		this.anyExecutionUnknown |= this.lastExecution.equals("unknown");
		retryOrGiveUp();
	}

	private CallerOutcome checkAnswer(HttpResponse<byte[]> response) {
		AnswerCheck check = Answers.check(response.body(), this.arrival.requestId(), this.arrival.path());
		return switch (check) {
			case COMPLETE -> CallerOutcome.COMPLETED;
			case PARTIAL -> CallerOutcome.PARTIAL_ANSWER;
			case WRONG -> CallerOutcome.WRONG_ANSWER;
		};
	}

	private void retryOrGiveUp() {
		// An order that may have run is retried only with its ticket, which is safe.
		boolean mayRetry = !this.arrival.kind().order() || !this.ticket.isEmpty() || onlyRefusals();
		if (!mayRetry || this.attempts >= this.behaviour.maximumAttempts() || remainingMilliseconds() <= 0) {
			giveUp();
			return;
		}
		long delayMilliseconds = ThreadLocalRandom.current()
			.nextLong(2 * this.behaviour.meanRetryDelayMilliseconds() + 1);
		boolean needsTicket = this.arrival.kind().order() && this.behaviour.reservesTickets() && this.ticket.isEmpty();
		this.scheduler.schedule(needsTicket ? this::reserveTicket : this::sendAttempt, delayMilliseconds,
				TimeUnit.MILLISECONDS);
	}

	private void giveUp() {
		if (this.ticket.isEmpty() || onlyRefusals()) {
			finish(outcomeWithoutAnswer());
			return;
		}
		this.client.fetchResult(entryUrl(), this.ticket, RESULT_TIMEOUT).whenComplete((response, ex) -> {
			boolean completed = response != null && response.statusCode() == OK;
			finish(completed ? checkAnswer(response) : outcomeWithoutAnswer());
		});
	}

	private boolean onlyRefusals() {
		return !this.anyUnanswered && !this.anyRan && !this.anyExecutionUnknown;
	}

	private CallerOutcome outcomeWithoutAnswer() {
		if (this.anyRan) {
			return CallerOutcome.FAILED;
		}
		if (this.anyExecutionUnknown) {
			return CallerOutcome.UNKNOWN;
		}
		return this.anyUnanswered ? CallerOutcome.TIMED_OUT : CallerOutcome.REFUSED;
	}

	private void finish(CallerOutcome outcome) {
		this.onEnd.accept(new CallerRecord(this.arrival, outcome, this.lastStatus, this.lastExecution, this.lastReason,
				this.ticket, this.attempts, this.sentMicroseconds, epochMicroseconds(),
				System.nanoTime() - this.scheduledNanoseconds));
	}

	private String entryUrl() {
		return this.entryUrls.get((this.arrival.entry() + this.entryNodeChanges) % this.entryUrls.size());
	}

	private Duration attemptTimeout() {
		return Duration
			.ofMillis(Math.max(1, Math.min(this.behaviour.attemptTimeoutMilliseconds(), remainingMilliseconds())));
	}

	private long remainingMilliseconds() {
		long elapsed = Duration.ofNanos(System.nanoTime() - this.scheduledNanoseconds).toMillis();
		return this.arrival.kind().deadlineMilliseconds() - elapsed;
	}

	private static long epochMicroseconds() {
		return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
	}

}
