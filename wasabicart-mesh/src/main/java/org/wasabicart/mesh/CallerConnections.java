package org.wasabicart.mesh;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Open connections of callers, whose number is limited.
 */
final class CallerConnections {

	private static final Comparator<EntryConnection> LEAST_USED = Comparator.comparing(EntryConnection::receivesBody)
		.thenComparing(EntryConnection::requestRead)
		.thenComparing((first, second) -> Long.signum(first.lastActivity() - second.lastActivity()));

	private final int maximum;

	private final EntryRejections rejections;

	private final Set<EntryConnection> connections = new HashSet<>();

	/**
	 * Creates an empty set.
	 * @param maximum maximum number of open connections
	 * @param rejections reports connections that are closed because of the limit
	 */
	CallerConnections(int maximum, EntryRejections rejections) {
		this.maximum = maximum;
		this.rejections = Objects.requireNonNull(rejections, "rejections");
	}

	/**
	 * Returns whether a further connection may be opened. At the limit, another one is
	 * closed if no request of it is in progress: one that has never carried a request, or
	 * else the one that has been idle for the longest time. Connections on which the body
	 * of a request arrives are closed after these. An incomplete head does not protect a
	 * connection, since it takes a caller only a byte.
	 * @return whether there is room
	 */
	boolean admits() {
		if (this.connections.size() < this.maximum) {
			return true;
		}
		Optional<EntryConnection> least = this.connections.stream().filter(EntryConnection::closable).min(LEAST_USED);
		least.ifPresent((connection) -> {
			this.rejections.rejected("connections", connection.remoteAddress());
			connection.close();
			// The event that it is inactive follows in a later task.
			this.connections.remove(connection);
		});
		return least.isPresent();
	}

	void add(EntryConnection connection) {
		this.connections.add(connection);
	}

	void remove(EntryConnection connection) {
		this.connections.remove(connection);
	}

	/**
	 * Returns the open connections.
	 * @return a copy
	 */
	List<EntryConnection> open() {
		return List.copyOf(this.connections);
	}

}
