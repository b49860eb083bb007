package org.wasabicart.node.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

import org.wasabicart.configuration.Finding;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.peer.HttpHeaderField;

/**
 * Typed access to the header fields of one request. Findings are collected, so that the
 * response names all of them.
 */
final class RequestHeaders {

	private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,128}");

	private static final Pattern MILLISECONDS = Pattern.compile("[0-9]{1,9}");

	private final List<Finding> findings = new ArrayList<>();

	private final HttpRequest request;

	RequestHeaders(HttpRequest request) {
		this.request = request;
	}

	void addFinding(String place, String message) {
		this.findings.add(new Finding(place, message));
	}

	void throwFindings() throws BadRequestException {
		if (!this.findings.isEmpty()) {
			throw new BadRequestException(RefusalReason.BAD_REQUEST, this.findings);
		}
	}

	/**
	 * Reads a field that may appear once. Repetitions with the same value are tolerated.
	 * @param <T> type of the value
	 * @param name field name
	 * @param conversion converts the text of the field; throws
	 * {@code IllegalArgumentException} for an invalid value
	 * @return the value, or empty if it is absent or a finding was added
	 */
	<T> Optional<T> value(String name, Function<String, T> conversion) {
		String found = null;
		for (HttpHeader header : this.request.getHeaders()) {
			if (!header.name().equalsIgnoreCase(name)) {
				continue;
			}
			String value = header.value().strip();
			if (found != null && !found.equals(value)) {
				addFinding(name, "is given more than once with different values");
				return Optional.empty();
			}
			found = value;
		}
		if (found == null) {
			return Optional.empty();
		}
		try {
			return Optional.of(conversion.apply(found));
		}
		catch (IllegalArgumentException ex) {
			// The value itself is not repeated in the response or in logs.
			addFinding(name, "is not valid");
			return Optional.empty();
		}
	}

	/**
	 * Returns the fields to forward.
	 * @return the fields, with the content type of the body if there is one
	 */
	List<HttpHeaderField> forwarded() {
		List<HttpHeaderField> fields = new ArrayList<>();
		for (HttpHeader header : this.request.getHeaders()) {
			if (HeaderNames.isForwarded(header.name())) {
				fields.add(new HttpHeaderField(header.name(), header.value()));
			}
		}
		if (!this.request.entity().isKnownEmpty()) {
			fields
				.add(new HttpHeaderField(HeaderNames.CONTENT_TYPE, this.request.entity().getContentType().toString()));
		}
		return fields;
	}

	static long milliseconds(String text) {
		if (!MILLISECONDS.matcher(text).matches()) {
			throw new IllegalArgumentException("Not a number of milliseconds");
		}
		return Long.parseLong(text);
	}

	static String idempotencyKey(String text) {
		if (!IDEMPOTENCY_KEY.matcher(text).matches()) {
			throw new IllegalArgumentException("Not a valid idempotency key");
		}
		return text;
	}

	static String ticket(String text) {
		if (text.isEmpty() || text.length() > 256) {
			throw new IllegalArgumentException("Not a valid ticket");
		}
		return text;
	}

}
