package org.wasabicart.node.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

import org.wasabicart.configuration.Finding;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.HttpHeaderField;

/**
 * Writes responses of calls as HTTP responses.
 */
final class ResponseWriter {

	static final int BAD_REQUEST = 400;

	private static final int CONFLICT = 409;

	private static final int BAD_GATEWAY = 502;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final int GONE = 410;

	private static final long MILLISECONDS_PER_SECOND = 1000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final RandomGenerator random;

	ResponseWriter(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Writes the response of a call.
	 * @param requestId id of the root request
	 * @param response response of the call
	 * @return the HTTP response
	 */
	HttpResponse write(String requestId, CallResponse response) {
		List<HttpHeader> headers = new ArrayList<>();
		headers.add(RawHeader.create(HeaderNames.REQUEST_ID, requestId));
		Outcome outcome = response.outcome();
		if (outcome instanceof Outcome.Completed completed) {
			return completed(completed.status(), headers, response);
		}
		if (outcome instanceof Outcome.Refused refused) {
			return unsuccessful(refusalStatus(refused.reason()), "not-run", refused.reason().code(), headers,
					refused.retryAfter());
		}
		if (outcome instanceof Outcome.Failed failed) {
			return unsuccessful(failureStatus(failed.reason()), execution(failed.reason()), failed.reason().code(),
					headers, Duration.ZERO);
		}
		FailureReason reason = ((Outcome.Unknown) outcome).reason();
		return unsuccessful(failureStatus(reason), "unknown", reason.code(), headers, Duration.ZERO);
	}

	/**
	 * Writes a refusal of a request that was not converted to a call.
	 * @param status status of the response
	 * @param reason reason for the refusal
	 * @param retryAfter suggested delay before a retry, or zero to suggest none
	 * @return the HTTP response
	 */
	HttpResponse refusal(int status, RefusalReason reason, Duration retryAfter) {
		return unsuccessful(status, "not-run", reason.code(), new ArrayList<>(), retryAfter);
	}

	/**
	 * Writes a refusal with its findings as JSON.
	 * @param exception reason and findings
	 * @return the HTTP response
	 */
	HttpResponse refusal(BadRequestException exception) {
		HttpResponse response = refusal(BAD_REQUEST, exception.reason(), Duration.ZERO);
		return response.withEntity(ContentTypes.APPLICATION_JSON, json(new Findings(exception.findings())));
	}

	static byte[] json(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Cannot write JSON", ex);
		}
	}

	private static HttpResponse completed(int status, List<HttpHeader> headers, CallResponse response) {
		ContentType type = ContentTypes.NO_CONTENT_TYPE;
		for (HttpHeaderField field : response.headers()) {
			if (field.name().equalsIgnoreCase(HeaderNames.CONTENT_TYPE)) {
				type = contentType(field.value());
			}
			else {
				headers.add(RawHeader.create(field.name(), field.value()));
			}
		}
		StatusCode code = statusCode(status);
		HttpResponse http = HttpResponse.create().withStatus(code).addHeaders(headers);
		return code.allowsEntity() ? http.withEntity(HttpEntities.create(type, response.body())) : http;
	}

	static ContentType contentType(String text) {
		try {
			return ContentTypes.parse(text);
		}
		catch (RuntimeException ex) {
			// The text comes from another process and may be malformed.
			return ContentTypes.APPLICATION_OCTET_STREAM;
		}
	}

	private static StatusCode statusCode(int status) {
		Optional<StatusCode> known = StatusCodes.lookup(status);
		return known.orElseGet(() -> StatusCodes.custom(status, "", "", status < BAD_REQUEST, true));
	}

	private HttpResponse unsuccessful(int status, String execution, String reason, List<HttpHeader> headers,
			Duration retryAfter) {
		headers.add(RawHeader.create(HeaderNames.EXECUTION, execution));
		headers.add(RawHeader.create(HeaderNames.REASON, reason));
		if (!retryAfter.isZero()) {
			long delayMilliseconds = jittered(retryAfter.toMillis());
			long seconds = (delayMilliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
			headers.add(RawHeader.create(HeaderNames.RETRY_AFTER, Long.toString(seconds)));
			headers.add(RawHeader.create(HeaderNames.RETRY_AFTER_MILLISECONDS, Long.toString(delayMilliseconds)));
		}
		return HttpResponse.create().withStatus(status).addHeaders(headers);
	}

	// Adds up to half of the time, so that refused callers do not retry simultaneously.
	private long jittered(long milliseconds) {
		return Math.max(1, milliseconds + this.random.nextLong(milliseconds / 2 + 1));
	}

	private static String execution(FailureReason reason) {
		return switch (reason) {
			case BACKEND_ERROR, INCOMPLETE_ANSWER, RESULT_EXPIRED -> "ran";
			default -> "unknown";
		};
	}

	private static int refusalStatus(RefusalReason reason) {
		return switch (reason) {
			case BAD_REQUEST, CONTEXT_UNKNOWN -> BAD_REQUEST;
			case TICKET_REJECTED -> CONFLICT;
			case EXPIRED -> GATEWAY_TIMEOUT;
			default -> SERVICE_UNAVAILABLE;
		};
	}

	private static int failureStatus(FailureReason reason) {
		return switch (reason) {
			case TIMEOUT -> GATEWAY_TIMEOUT;
			case RESULT_EXPIRED -> GONE;
			default -> BAD_GATEWAY;
		};
	}

	private record Findings(List<Finding> findings) {

	}

}
