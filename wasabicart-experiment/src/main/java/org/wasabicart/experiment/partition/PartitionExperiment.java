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
import org.wasabicart.experiment.harness.DomainModel;
import org.wasabicart.experiment.harness.EntryLoads;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.LoadPhase;

/**
 * Cuts the two regions from each other under load, first in both directions and then in
 * one, with real processes on loopback.
 */
public final class PartitionExperiment implements Experiment {

	private static final double WARM_UP_SECONDS = 4;

	private static final long BEFORE_MILLISECONDS = 3_000;

	private static final long CUT_MILLISECONDS = 5_000;

	private static final long HEAL_MILLISECONDS = 6_000;

	private static final long ONE_WAY_MILLISECONDS = 3_000;

	private static final double LOAD_SECONDS = (BEFORE_MILLISECONDS + CUT_MILLISECONDS + ONE_WAY_MILLISECONDS
			+ 2 * HEAL_MILLISECONDS) / 1e3;

	/** Each part can serve its own half of this load alone. */
	private static final double LOAD_SHARE = 0.4;

	private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

	private static final CallerBehaviour PATIENT = new CallerBehaviour(3_000, 1, 50, true);

	@Override
	public String name() {
		return "partition";
	}

	@Override
	public String description() {
		return "goodput of each part and recovery when regions lose contact, in both directions and in one";
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		return KleinhansRun.measure(arguments, WARM_UP_SECONDS, PartitionExperiment::drive);
	}

	private static ObjectNode drive(Deployment deployment, long seed) throws Exception {
		List<String> parts = deployment.plan().domains().stream().map(DomainModel::region).toList();
		List<List<String>> entries = parts.stream().map((part) -> entries(deployment, part)).toList();
		LoadPhase phase = new LoadPhase(LOAD_SECONDS, LOAD_SHARE * deployment.plan().capacity());
		String there = direction(parts.get(0), parts.get(1));
		String back = direction(parts.get(1), parts.get(0));
		MemberLists members = new MemberLists(deployment);
		try (EntryLoads loads = EntryLoads.start(deployment, entries, phase, PATIENT, seed)) {
			List<Cut> cuts = new ArrayList<>();
			boolean completeBefore = members.pollUntil(System.currentTimeMillis() + BEFORE_MILLISECONDS).isPresent();
			members.takeFewest();
			cuts.add(cut(deployment, members, "bothDirections", there + ", " + back, CUT_MILLISECONDS));
			cuts.add(cut(deployment, members, "oneDirection", there, ONE_WAY_MILLISECONDS));
			ObjectNode report = new PartitionReport(deployment.plan(), parts, loads.await(), cuts,
					new HistoryReader().read(deployment.history()), partOfServer(deployment))
				.toJson();
			report.put("allMembersListedBeforeCut", completeBefore);
			return report;
		}
	}

	private static Map<String, String> partOfServer(Deployment deployment) {
		return deployment.nodes()
			.stream()
			.collect(Collectors.toMap(DeployedNode::backendAddress, (node) -> node.domain().region()));
	}

	private static List<String> entries(Deployment deployment, String region) {
		return deployment.nodes()
			.stream()
			.filter((node) -> node.domain().region().equals(region))
			.map(DeployedNode::httpUrl)
			.toList();
	}

	private static String direction(String from, String to) {
		return "{\"from\": \"" + from + "\", \"to\": \"" + to + "\"}";
	}

	private static Cut cut(Deployment deployment, MemberLists members, String name, String directions,
			long milliseconds) throws Exception {
		setCuts(deployment, directions);
		long from = System.currentTimeMillis();
		members.pollUntil(from + milliseconds);
		long to = System.currentTimeMillis();
		setCuts(deployment, "");
		OptionalLong complete = members.pollUntil(to + HEAL_MILLISECONDS);
		return new Cut(name, from * MICROSECONDS_PER_MILLISECOND, to * MICROSECONDS_PER_MILLISECOND,
				System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND, members.takeFewest(), complete);
	}

	private static void setCuts(Deployment deployment, String directions) throws Exception {
		deployment.control().post(deployment.relayUrl() + "/standin/faults", "{\"cuts\": [" + directions + "]}");
	}

}
