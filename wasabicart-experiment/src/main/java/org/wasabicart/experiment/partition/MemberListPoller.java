package org.wasabicart.experiment.partition;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;

import org.wasabicart.experiment.harness.DeployedNode;
import org.wasabicart.experiment.harness.Deployment;

/**
 * Polls the member lists of all nodes of a deployment.
 */
final class MemberListPoller {

	private static final long POLL_MILLISECONDS = 50;

	private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

	private final ObjectMapper mapper = new ObjectMapper();

	private final Deployment deployment;

	private final Set<String> nodeNames;

	private int fewestListed;

	MemberListPoller(Deployment deployment) {
		this.deployment = deployment;
		this.nodeNames = deployment.nodes().stream().map(DeployedNode::name).collect(Collectors.toSet());
		this.fewestListed = this.nodeNames.size();
	}

	/**
	 * Polls until a time.
	 * @param endMilliseconds time since the epoch
	 * @return time of the first poll from which on all nodes listed all members, in
	 * microseconds since the epoch, or empty if they did not in the last poll
	 * @throws InterruptedException if interrupted
	 */
	OptionalLong pollUntil(long endMilliseconds) throws InterruptedException {
		OptionalLong complete = OptionalLong.empty();
		while (System.currentTimeMillis() < endMilliseconds) {
			if (!allMembersListed()) {
				complete = OptionalLong.empty();
			}
			else if (complete.isEmpty()) {
				complete = OptionalLong.of(System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND);
			}
			Thread.sleep(POLL_MILLISECONDS);
		}
		return complete;
	}

	/**
	 * Returns the fewest members that any node listed since the last call, and resets it.
	 * @return number of members
	 */
	int takeFewestListed() {
		int taken = this.fewestListed;
		this.fewestListed = this.nodeNames.size();
		return taken;
	}

	private boolean allMembersListed() throws InterruptedException {
		boolean complete = true;
		for (DeployedNode node : this.deployment.nodes()) {
			complete &= countListed(node) == this.nodeNames.size();
		}
		return complete;
	}

	private int countListed(DeployedNode node) throws InterruptedException {
		try {
			List<String> listed = this.mapper
				.readTree(this.deployment.httpControl().get(node.httpUrl() + "/wasabicart/status"))
				.path("members")
				.findValuesAsText("node");
			Set<String> known = new HashSet<>(listed);
			known.retainAll(this.nodeNames);
			this.fewestListed = Math.min(this.fewestListed, known.size());
			return known.size();
		}
		catch (IOException ex) {
			// An unreachable node counts as listing no members, but its view is unknown
			// and does not lower the fewest listed.
			return 0;
		}
	}

}
