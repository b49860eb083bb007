package org.wasabicart.wire;

import java.time.Duration;
import java.util.Arrays;
import java.util.function.Function;

import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.FinalStatus;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.wire.generated.link.Response;
import org.wasabicart.wire.generated.link.Result;

/**
 * Maps outcomes to the head of a response and back. An unknown reason, sent by a newer
 * version, becomes a generic reason of the same result, so that a call that did not run
 * is still reported as such.
 */
public final class OutcomeCodec {

	private OutcomeCodec() {
	}

	/**
	 * Writes an outcome into the head of a response.
	 * @param outcome outcome
	 * @param response head to fill
	 */
	public static void write(Outcome outcome, Response.Builder response) {
		if (outcome instanceof Outcome.Completed completed) {
			response.setResult(Result.COMPLETED).setStatus(completed.status());
		}
		else if (outcome instanceof Outcome.Refused refused) {
			long milliseconds = Math.min(Integer.MAX_VALUE, Math.max(0, refused.retryAfter().toMillis()));
			response.setResult(Result.REFUSED)
				.setReason(refused.reason().code())
				.setRetryAfterMilliseconds((int) milliseconds);
		}
		else if (outcome instanceof Outcome.Failed failed) {
			response.setResult(Result.FAILED).setReason(failed.reason().code()).setRetriedBelow(failed.retriedBelow());
		}
		else if (outcome instanceof Outcome.Unknown unknown) {
			response.setResult(Result.UNKNOWN).setReason(unknown.reason().code());
		}
	}

	/**
	 * Reads an outcome from the head of a response.
	 * @param response head
	 * @return the outcome
	 * @throws WireFormatException if the result is missing or from a newer version
	 */
	public static Outcome read(Response response) throws WireFormatException {
		return switch (response.getResult()) {
			case COMPLETED -> completed(response.getStatus());
			case REFUSED -> new Outcome.Refused(refusalReason(response.getReason()),
					Duration.ofMillis(Integer.toUnsignedLong(response.getRetryAfterMilliseconds())));
			case FAILED -> new Outcome.Failed(failureReason(response.getReason()), response.getRetriedBelow());
			case UNKNOWN -> new Outcome.Unknown(failureReason(response.getReason()));
			case RESULT_UNSPECIFIED, UNRECOGNIZED -> throw new WireFormatException("Result is not known", null);
		};
	}

	private static Outcome completed(int status) throws WireFormatException {
		if (!FinalStatus.isValid(status)) {
			throw new WireFormatException("Status is not valid: " + status, null);
		}
		return new Outcome.Completed(status);
	}

	private static RefusalReason refusalReason(String code) {
		return findByCode(RefusalReason.values(), RefusalReason::code, code, RefusalReason.OVERLOADED);
	}

	private static FailureReason failureReason(String code) {
		return findByCode(FailureReason.values(), FailureReason::code, code, FailureReason.BACKEND_ERROR);
	}

	private static <T> T findByCode(T[] values, Function<T, String> toCode, String code, T fallback) {
		return Arrays.stream(values).filter((value) -> toCode.apply(value).equals(code)).findFirst().orElse(fallback);
	}

}
