package org.wasabicart.command;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.wasabicart.core.model.Revision;

/**
 * Waits until a revision is in force on all nodes that a named node knows of. The named
 * node asks each of them.
 */
final class InForceWait {

	private static final Duration INTERVAL = Duration.ofMillis(200);

	private final NodeStatusClient client = new NodeStatusClient();

	private final List<String> nodes;

	private final Duration limit;

	InForceWait(List<String> nodes, Duration limit) {
		this.nodes = List.copyOf(nodes);
		this.limit = limit;
	}

	Result await(Revision revision) throws InterruptedException {
		long start = System.nanoTime();
		while (true) {
			Result result = count(revision, start);
			if (result.isComplete() || result.waited().compareTo(this.limit) >= 0) {
				return result;
			}
			Thread.sleep(INTERVAL.toMillis());
		}
	}

	private Result count(Revision revision, long start) throws InterruptedException {
		for (int index = 0; index < this.nodes.size(); index++) {
			// A node that does not respond must leave time for the nodes after it.
			Duration timeout = this.limit.minus(since(start)).dividedBy(this.nodes.size() - index);
			try {
				JsonNode count = this.client.inForce(this.nodes.get(index), revision, timeout);
				return new Result(count.path("inForce").asInt(), count.path("nodes").asInt(), since(start));
			}
			catch (IOException ex) {
				// The next named node may respond.
			}
		}
		return new Result(0, 0, since(start));
	}

	private static Duration since(long start) {
		return Duration.ofNanos(System.nanoTime() - start);
	}

	/**
	 * Nodes on which a revision is in force.
	 *
	 * @param inForce nodes with the revision or a higher one
	 * @param known nodes that the named node knows of; zero if no named node responded
	 * @param waited time that was waited
	 */
	record Result(int inForce, int known, Duration waited) {

		boolean isComplete() {
			return this.known > 0 && this.inForce == this.known;
		}

	}

}
