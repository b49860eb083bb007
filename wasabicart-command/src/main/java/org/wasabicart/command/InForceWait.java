package org.wasabicart.command;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.wasabicart.core.model.Revision;

/**
 * Polls the first node that responds until a revision is in force on all members that it
 * lists. That node queries each member itself.
 */
final class InForceWait {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

	private final NodeStatusClient client = new NodeStatusClient();

	private final List<String> nodes;

	private final Duration timeout;

	InForceWait(List<String> nodes, Duration timeout) {
		this.nodes = List.copyOf(nodes);
		this.timeout = timeout;
	}

	Result await(Revision revision) throws InterruptedException {
		long start = System.nanoTime();
		while (true) {
			Result result = count(revision, start);
			if (result.isComplete() || result.waited().compareTo(this.timeout) >= 0) {
				return result;
			}
			Thread.sleep(POLL_INTERVAL.toMillis());
		}
	}

	private Result count(Revision revision, long start) throws InterruptedException {
		for (int index = 0; index < this.nodes.size(); index++) {
			// Shares the remaining time, so that a node that does not respond leaves
			// time for the nodes after it. The client raises shorter timeouts to its
			// default, so the wait can exceed the timeout.
			Duration requestTimeout = this.timeout.minus(elapsedSince(start)).dividedBy(this.nodes.size() - index);
			try {
				JsonNode count = this.client.inForce(this.nodes.get(index), revision, requestTimeout);
				return new Result(count.path("inForce").asInt(), count.path("nodes").asInt(), elapsedSince(start));
			}
			catch (IOException ex) {
				// Tries the next node.
			}
		}
		return new Result(0, 0, elapsedSince(start));
	}

	private static Duration elapsedSince(long start) {
		return Duration.ofNanos(System.nanoTime() - start);
	}

	/**
	 * Number of nodes on which a revision is in force.
	 *
	 * @param inForce number of nodes with the revision or a higher one
	 * @param members number of members that the queried node lists; zero if no node
	 * responded
	 * @param waited time since the start of the wait
	 */
	record Result(int inForce, int members, Duration waited) {

		boolean isComplete() {
			return this.members > 0 && this.inForce == this.members;
		}

	}

}
