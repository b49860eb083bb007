package org.wasabicart.experiment.latency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import org.HdrHistogram.Histogram;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;
import org.wasabicart.experiment.figures.CallerFigures;
import org.wasabicart.experiment.harness.AddressPlan;
import org.wasabicart.experiment.harness.ControlMode;
import org.wasabicart.experiment.harness.DeployedNode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.JvmFlags;
import org.wasabicart.experiment.harness.ManagedProcess;
import org.wasabicart.experiment.harness.ProcessHarness;
import org.wasabicart.standin.caller.ArrivalSchedule;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.CallerKind;
import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadGenerator;
import org.wasabicart.standin.caller.LoadPhase;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Sends the same calls directly and through nodes in alternating time slices, for one hop
 * and for a chain, and reads the nodes' memory and processor usage.
 */
public final class LatencyExperiment implements Experiment {

	private static final double SLICE_SECONDS = 1;

	private static final String DEFAULT_DEPTH = "11";

	// Calls per second per node: 120,000 calls/s spread over 680 nodes.
	private static final String DEFAULT_RATE = "176";

	private static final String DEFAULT_SECONDS = "8";

	private static final double WARM_UP_SECONDS = 6;

	private static final Duration IDLE_INTERVAL = Duration.ofSeconds(5);

	private static final CallerBehaviour SINGLE_ATTEMPT = new CallerBehaviour(5_000, 1, 0, false);

	private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

	private static final double MEDIAN = 50;

	private static final double P99 = 99;

	@Override
	public String name() {
		return "latency";
	}

	@Override
	public String description() {
		return "Latency that two nodes add to a call, memory usage, and processor usage without calls";
	}

	@Override
	public void declareFlags(OptionParser parser) {
		parser.accepts("depth", "Depth of the chain").withRequiredArg().defaultsTo(DEFAULT_DEPTH);
		parser.accepts("rate", "Calls per second per node").withRequiredArg().defaultsTo(DEFAULT_RATE);
		parser.accepts("seconds", "Duration of each measurement in seconds")
			.withRequiredArg()
			.defaultsTo(DEFAULT_SECONDS);
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		int depth = (int) arguments.number("depth");
		DeploymentPlan plan = ChainPlan.of(depth);
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		report.put("jvmFlags", String.join(" ", JvmFlags.NODE));
		try (ProcessHarness harness = new ProcessHarness()) {
			DirectChain direct = new DirectChain(AddressPlan.findFree(arguments.addressPrefix()), depth);
			direct.start(harness, JvmFlags.STANDIN);
			Deployment deployment = Deployment.start(harness, plan, ControlMode.WASABICART, arguments.addressPrefix());
			deployment.awaitReady();
			deployment.httpControl().awaitOk(direct.chainUrl() + "/health", Duration.ofSeconds(20));
			List<ManagedProcess> nodes = deployment.nodes()
				.stream()
				.map((node) -> deployment.process(node.name()))
				.toList();
			report.put("controlCoreShare", round(mean(ProcessUsage.coreShares(nodes, IDLE_INTERVAL))));
			report.put("residentMegabytesIdle", round(Collections.max(ProcessUsage.residentMegabytes(nodes))));
			DeployedNode entry = deployment.nodes(ChainPlan.ENTRY_SERVICE).get(0);
			report.set("oneHop", compare(plan, ChainPlan.HOP_KIND, entry.httpUrl(), direct.lastUrl(), arguments));
			report.set("chain", compare(plan, ChainPlan.CHAIN_KIND, entry.httpUrl(), direct.chainUrl(), arguments));
			report.put("residentMegabytes", round(Collections.max(ProcessUsage.residentMegabytes(nodes))));
			report.put("chainDepth", depth);
			report.set("addedMedianMilliseconds", report.path("oneHop").path("addedMedianMilliseconds"));
			report.set("addedP99Milliseconds", report.path("oneHop").path("addedP99Milliseconds"));
		}
		arguments.output().println(report);
		return report;
	}

	private static ObjectNode compare(DeploymentPlan plan, String kind, String nodeUrl, String directUrl,
			ExperimentArguments arguments) throws Exception {
		double rate = arguments.decimal("rate");
		double seconds = arguments.decimal("seconds");
		SplittableRandom seeds = new SplittableRandom(arguments.seed() + kind.hashCode());
		sendInSlices(kind, nodeUrl, directUrl, rate, WARM_UP_SECONDS, seeds);
		List<LoadResult> results = sendInSlices(kind, nodeUrl, directUrl, rate, seconds, seeds);
		Histogram through = results.get(0).latencies(kind);
		Histogram direct = results.get(1).latencies(kind);
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		boolean comparable = through.getTotalCount() > 0 && direct.getTotalCount() > 0;
		if (comparable) {
			figures.put("addedMedianMilliseconds", round(milliseconds(through, MEDIAN) - milliseconds(direct, MEDIAN)));
			figures.put("addedP99Milliseconds", round(milliseconds(through, P99) - milliseconds(direct, P99)));
		}
		else {
			figures.putNull("addedMedianMilliseconds");
			figures.putNull("addedP99Milliseconds");
		}
		figures.put("throughNodesMedianMilliseconds", milliseconds(through, MEDIAN));
		figures.put("throughNodesP99Milliseconds", milliseconds(through, P99));
		figures.put("directMedianMilliseconds", milliseconds(direct, MEDIAN));
		figures.put("directP99Milliseconds", milliseconds(direct, P99));
		figures.put("answeredThroughNodes", through.getTotalCount());
		figures.put("answeredDirect", direct.getTotalCount());
		figures.put("sentThroughNodes", results.get(0).records().size());
		figures.put("sentDirect", results.get(1).records().size());
		figures.set("outcomesThroughNodes", new CallerFigures(plan, results.get(0)).outcomes());
		figures.put("generatorLagMilliseconds",
				round(results.get(0).maximumLagNanoseconds() / NANOSECONDS_PER_MILLISECOND));
		return figures;
	}

	// Alternates between the targets in short slices, so that neither measurement runs
	// under the other's load and both see the same changes in the machine's speed.
	private static List<LoadResult> sendInSlices(String kind, String nodeUrl, String directUrl, double rate,
			double seconds, SplittableRandom seeds) throws Exception {
		CallerKind callerKind = new CallerKind(kind, "/" + kind, false, SINGLE_ATTEMPT.attemptTimeoutMilliseconds(), 1);
		List<LoadPhase> slice = List.of(new LoadPhase(SLICE_SECONDS, rate));
		List<LoadResult> throughResults = new ArrayList<>();
		List<LoadResult> directResults = new ArrayList<>();
		try (LoadGenerator through = new LoadGenerator(List.of(nodeUrl), DeploymentPlan.TENANT, SINGLE_ATTEMPT);
				LoadGenerator direct = new LoadGenerator(List.of(directUrl), DeploymentPlan.TENANT, SINGLE_ATTEMPT)) {
			for (double done = 0; done < seconds; done += SLICE_SECONDS) {
				throughResults.add(sendSlice(through, seeds, slice, callerKind));
				directResults.add(sendSlice(direct, seeds, slice, callerKind));
			}
		}
		return List.of(merge(throughResults), merge(directResults));
	}

	// Each slice has its own seed, because request ids are derived from the seed and a
	// repeated id would count as a retry.
	private static LoadResult sendSlice(LoadGenerator generator, SplittableRandom seeds, List<LoadPhase> slice,
			CallerKind kind) throws InterruptedException {
		return generator.run(ArrivalSchedule.create(seeds.nextInt(Integer.MAX_VALUE), slice, List.of(kind)),
				(record) -> {
				});
	}

	private static LoadResult merge(List<LoadResult> slices) {
		List<CallerRecord> records = new ArrayList<>();
		slices.forEach((slice) -> records.addAll(slice.records()));
		long lag = slices.stream().mapToLong(LoadResult::maximumLagNanoseconds).max().orElse(0);
		return new LoadResult(records, slices.get(0).startMicroseconds(), lag);
	}

	private static double milliseconds(Histogram histogram, double percentile) {
		return round(histogram.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND);
	}

	private static double mean(List<Double> values) {
		return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
	}

	private static double round(double value) {
		return Math.round(value * 10_000) / 10_000.0;
	}

}
