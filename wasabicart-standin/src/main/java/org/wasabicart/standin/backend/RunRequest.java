package org.wasabicart.standin.backend;

import java.time.Duration;

import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * Values that a backend server reads from an HTTP request.
 *
 * @param method HTTP method
 * @param path path without query
 * @param root root request id
 * @param kind request kind, or empty
 * @param ticket ticket of an order, or empty
 * @param context context handle that the node sent, or empty; passed on with nested
 * calls, and names the run in a request to cancel it
 * @param deadlineNanoseconds deadline on the clock of {@link System#nanoTime()}
 */
record RunRequest(String method, String path, String root, String kind, String ticket, String context,
		long deadlineNanoseconds) {

	private static final long DEFAULT_DEADLINE_MILLISECONDS = 60_000;

	static RunRequest of(HttpRequest request) {
		String remaining = header(request, "Wasabicart-Deadline-Milliseconds");
		long milliseconds = remaining.isEmpty() ? DEFAULT_DEADLINE_MILLISECONDS : Long.parseLong(remaining);
		return new RunRequest(request.method().value(), request.getUri().path(),
				header(request, "Wasabicart-Request-Id"), header(request, "Wasabicart-Kind"),
				header(request, "Wasabicart-Ticket"), header(request, "Wasabicart-Context"),
				System.nanoTime() + Duration.ofMillis(milliseconds).toNanos());
	}

	private static String header(HttpRequest request, String name) {
		return request.getHeader(name).map(HttpHeader::value).orElse("");
	}

	boolean expired() {
		return remainingMilliseconds() <= 0;
	}

	long remainingMilliseconds() {
		return Duration.ofNanos(this.deadlineNanoseconds - System.nanoTime()).toMillis();
	}

}
