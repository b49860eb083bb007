package org.wasabicart.core.model;

import java.time.Duration;
import java.util.Objects;

/**
 * Outcome of one call, without its body.
 */
public sealed interface Outcome {

	/**
	 * The call ran and its whole response arrived.
	 *
	 * @param status HTTP status of the backend server's response
	 */
	record Completed(int status) implements Outcome {

	}

	/**
	 * The call never ran: no byte of it reached a backend server, or the backend server
	 * signalled that it shed the call.
	 *
	 * @param reason reason
	 * @param retryAfter suggested delay before a retry
	 */
	record Refused(RefusalReason reason, Duration retryAfter) implements Outcome {

		public Refused {
			Objects.requireNonNull(reason, "reason");
			Objects.requireNonNull(retryAfter, "retryAfter");
		}

	}

	/**
	 * The call ran or may have run, and it failed.
	 *
	 * @param reason reason
	 * @param retriedBelow whether a hop further down the call tree has already retried
	 */
	record Failed(FailureReason reason, boolean retriedBelow) implements Outcome {

		public Failed {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * It cannot be determined whether the call, which belongs to an order, ran. A call of
	 * an idempotent kind is {@link Failed} instead.
	 *
	 * @param reason reason
	 */
	record Unknown(FailureReason reason) implements Outcome {

		public Unknown {
			Objects.requireNonNull(reason, "reason");
		}

	}

}
