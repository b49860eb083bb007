package org.wasabicart.experiment.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;
import org.wasabicart.experiment.KleinhansRun;
import org.wasabicart.experiment.figures.HistoryReader;
import org.wasabicart.experiment.harness.DeployedNode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.EntryLoads;
import org.wasabicart.experiment.harness.FailureDomainModel;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.LoadPhase;

/**
 * Partitions the two regions under load, first in both directions and then in one, with
 * real processes on loopback.
 */
public final class PartitionExperiment implements Experiment {

	private static final double WARM_UP_SECONDS = 4;

	private static final long BEFORE_MILLISECONDS = 3_000;

	private static final long CUT_MILLISECONDS = 5_000;

	private static final long HEAL_MILLISECONDS = 6_000;

	private static final long ONE_WAY_MILLISECONDS = 3_000;

	private static final double LOAD_SECONDS = (BEFORE_MILLISECONDS + CUT_MILLISECONDS + ONE_WAY_MILLISECONDS
			+ 2 * HEAL_MILLISECONDS) / 1e3;

	/** Each part can serve its half of this load without the other part. */
	private static final double LOAD_SHARE = 0.4;

	private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

	private static final CallerBehaviour SINGLE_ATTEMPT = new CallerBehaviour(3_000, 1, 50, true);

	@Override
	public String name() {
		return "partition";
	}

	@Override
	public String description() {
		return "goodput of each part and recovery after partitions of the regions, in both directions and in one";
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		return KleinhansRun.measure(arguments, WARM_UP_SECONDS, PartitionExperiment::partitionUnderLoad);
	}

	private static ObjectNode partitionUnderLoad(Deployment deployment, long seed) throws Exception {
		List<String> parts = deployment.plan().domains().stream().map(FailureDomainModel::region).toList();
		List<List<String>> entries = parts.stream().map((part) -> entryUrls(deployment, part)).toList();
		LoadPhase phase = new LoadPhase(LOAD_SECONDS, LOAD_SHARE * deployment.plan().capacity());
		String forward = direction(parts.get(0), parts.get(1));
		String backward = direction(parts.get(1), parts.get(0));
		MemberListPoller memberLists = new MemberListPoller(deployment);
		try (EntryLoads loads = EntryLoads.start(deployment, entries, phase, SINGLE_ATTEMPT, seed)) {
			List<NetworkPartition> partitions = new ArrayList<>();
			boolean allListedBefore = memberLists.pollUntil(System.currentTimeMillis() + BEFORE_MILLISECONDS)
				.isPresent();
			memberLists.takeFewestListed();
			partitions
				.add(partition(deployment, memberLists, "bothDirections", forward + ", " + backward, CUT_MILLISECONDS));
			partitions.add(partition(deployment, memberLists, "oneDirection", forward, ONE_WAY_MILLISECONDS));
			ObjectNode report = new PartitionReport(deployment.plan(), parts, loads.await(), partitions,
					new HistoryReader().read(deployment.historyFile()), partOfServer(deployment))
				.toJson();
			report.put("allMembersListedBeforeCut", allListedBefore);
			return report;
		}
	}

	private static Map<String, String> partOfServer(Deployment deployment) {
		return deployment.nodes()
			.stream()
			.collect(Collectors.toMap(DeployedNode::backendAddress, (node) -> node.domain().region()));
	}

	private static List<String> entryUrls(Deployment deployment, String region) {
		return deployment.nodes()
			.stream()
			.filter((node) -> node.domain().region().equals(region))
			.map(DeployedNode::httpUrl)
			.toList();
	}

	private static String direction(String from, String to) {
		return "{\"from\": \"" + from + "\", \"to\": \"" + to + "\"}";
	}

	private static NetworkPartition partition(Deployment deployment, MemberListPoller memberLists, String name,
			String directions, long milliseconds) throws Exception {
		setCuts(deployment, directions);
		long from = System.currentTimeMillis();
		memberLists.pollUntil(from + milliseconds);
		long to = System.currentTimeMillis();
		setCuts(deployment, "");
		OptionalLong allListedMicroseconds = memberLists.pollUntil(to + HEAL_MILLISECONDS);
		return new NetworkPartition(name, from * MICROSECONDS_PER_MILLISECOND, to * MICROSECONDS_PER_MILLISECOND,
				System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND, memberLists.takeFewestListed(),
				allListedMicroseconds);
	}

	private static void setCuts(Deployment deployment, String directions) throws Exception {
		deployment.httpControl().post(deployment.relayUrl() + "/standin/faults", "{\"cuts\": [" + directions + "]}");
	}

}
