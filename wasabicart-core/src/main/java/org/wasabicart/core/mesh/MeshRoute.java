package org.wasabicart.core.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Requests of one host below one path prefix.
 *
 * @param name name, unique within a configuration
 * @param host host that the request names
 * @param prefix path prefix that begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param priority priority of the requests; 0 is the highest
 * @param maximumAttempts largest number of servers to which one request may be sent
 * @param timeout longest time that a request is kept waiting, if limited
 * @param targetLatency time within which an answer has its full value, if set
 * @param shares services that run the requests, at least one
 * @param anonymous whether requests need no key where the configuration has workspaces
 */
public record MeshRoute(String name, String host, String prefix, boolean idempotent, int priority, int maximumAttempts,
		Optional<Duration> timeout, Optional<Duration> targetLatency, List<ServiceShare> shares, boolean anonymous) {

	public MeshRoute {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(timeout, "timeout");
		Objects.requireNonNull(targetLatency, "targetLatency");
		shares = List.copyOf(shares);
		if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
			throw new IllegalArgumentException("Prefix does not begin and end with a slash: " + prefix);
		}
		if (shares.isEmpty()) {
			throw new IllegalArgumentException("shares of a route must not be empty: " + name);
		}
		if (maximumAttempts < 1) {
			throw new IllegalArgumentException("maximumAttempts of a route must be at least 1: " + name);
		}
	}

	/**
	 * Creates a route whose requests need a key where the configuration has workspaces.
	 * @param name name, unique within a configuration
	 * @param host host that the request names
	 * @param prefix path prefix that begins and ends with a slash
	 * @param idempotent whether a request may run more than once
	 * @param priority priority of the requests; 0 is the highest
	 * @param maximumAttempts largest number of servers to which one request may be sent
	 * @param timeout longest time that a request is kept waiting, if limited
	 * @param targetLatency time within which an answer has its full value, if set
	 * @param shares services that run the requests, at least one
	 */
	public MeshRoute(String name, String host, String prefix, boolean idempotent, int priority, int maximumAttempts,
			Optional<Duration> timeout, Optional<Duration> targetLatency, List<ServiceShare> shares) {
		this(name, host, prefix, idempotent, priority, maximumAttempts, timeout, targetLatency, shares, false);
	}

}
