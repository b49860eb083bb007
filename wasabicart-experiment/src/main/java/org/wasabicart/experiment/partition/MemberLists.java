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
 * Polls the members that the nodes of a deployment list.
 */
final class MemberLists {

	private static final long POLL_MILLISECONDS = 50;

	private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

	private final ObjectMapper mapper = new ObjectMapper();

	private final Deployment deployment;

	private final Set<String> names;

	private int fewest;

	MemberLists(Deployment deployment) {
		this.deployment = deployment;
		this.names = deployment.nodes().stream().map(DeployedNode::name).collect(Collectors.toSet());
		this.fewest = this.names.size();
	}

	/**
	 * Polls until a time.
	 * @param endMilliseconds time since the epoch
	 * @return the time in microseconds of the first poll from which all nodes listed all
	 * members in each poll, or empty if the last poll found less
	 * @throws InterruptedException if interrupted
	 */
	OptionalLong pollUntil(long endMilliseconds) throws InterruptedException {
		OptionalLong complete = OptionalLong.empty();
		while (System.currentTimeMillis() < endMilliseconds) {
			if (!complete()) {
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
	 * Returns the fewest members that a node listed since the last call.
	 * @return number of members
	 */
	int takeFewest() {
		int taken = this.fewest;
		this.fewest = this.names.size();
		return taken;
	}

	private boolean complete() throws InterruptedException {
		boolean complete = true;
		for (DeployedNode node : this.deployment.nodes()) {
			complete &= listed(node) == this.names.size();
		}
		return complete;
	}

	private int listed(DeployedNode node) throws InterruptedException {
		try {
			List<String> listed = this.mapper
				.readTree(this.deployment.control().get(node.httpUrl() + "/wasabicart/status"))
				.path("members")
				.findValuesAsText("node");
			Set<String> known = new HashSet<>(listed);
			known.retainAll(this.names);
			this.fewest = Math.min(this.fewest, known.size());
			return known.size();
		}
		catch (IOException ex) {
			// A node that does not answer lists nobody, but says nothing about its view.
			return 0;
		}
	}

}
