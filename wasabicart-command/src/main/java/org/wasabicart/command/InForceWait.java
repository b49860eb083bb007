package org.wasabicart.command;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import org.wasabicart.core.model.Revision;

/**
 * Waits until a revision is in force on all nodes that the named nodes know of.
 */
final class InForceWait {

	private static final Duration INTERVAL = Duration.ofMillis(100);

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
		for (String node : this.nodes) {
			try {
				List<StatusMember> members = StatusMember.read(this.client.read(node));
				long inForce = members.stream().filter((member) -> member.revision() >= revision.value()).count();
				return new Result((int) inForce, members.size(), Duration.ofNanos(System.nanoTime() - start));
			}
			catch (IOException ex) {
				// The next named node may respond.
			}
		}
		return new Result(0, 0, Duration.ofNanos(System.nanoTime() - start));
	}

	/**
	 * Nodes on which a revision is in force.
	 *
	 * @param inForce nodes with the revision or a higher one
	 * @param known nodes that are known
	 * @param waited time that was waited
	 */
	record Result(int inForce, int known, Duration waited) {

		boolean isComplete() {
			return this.known > 0 && this.inForce == this.known;
		}

	}

}
