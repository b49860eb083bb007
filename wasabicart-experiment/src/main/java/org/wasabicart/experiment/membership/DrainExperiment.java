package org.wasabicart.experiment.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;
import org.wasabicart.experiment.KleinhansRun;
import org.wasabicart.experiment.figures.HistoryReader;
import org.wasabicart.experiment.figures.HistoryRun;
import org.wasabicart.experiment.harness.DeployedNode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.ManagedProcess;
import org.wasabicart.experiment.harness.ProcessSignal;
import org.wasabicart.standin.caller.ArrivalSchedule;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.CallerOutcome;
import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadGenerator;
import org.wasabicart.standin.caller.LoadPhase;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Drains and stops one node under load, with real processes on loopback.
 */
public final class DrainExperiment implements Experiment {

	private static final String DRAINED_SERVICE = "stores";

	private static final double WARM_UP_SECONDS = 4;

	private static final double LOAD_SECONDS = 14;

	private static final long STOP_AFTER_SECONDS = 5;

	private static final long EXIT_LIMIT_SECONDS = 30;

	private static final double LOAD_SHARE = 0.4;

	private static final double MICROSECONDS_PER_SECOND = 1e6;

	private static final CallerBehaviour SINGLE_ATTEMPT = new CallerBehaviour(3_000, 1, 50, true);

	@Override
	public String name() {
		return "drain";
	}

	@Override
	public String description() {
		return "new work and interrupted requests at a node that is drained and stopped, with real processes";
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		return KleinhansRun.measure(arguments, WARM_UP_SECONDS, DrainExperiment::stopUnderLoad);
	}

	private static ObjectNode stopUnderLoad(Deployment deployment, long seed) throws Exception {
		DeployedNode drained = deployment.nodes(DRAINED_SERVICE).get(0);
		ManagedProcess process = deployment.process(drained.name());
		// Callers that send directly to the drained node are not part of the measurement.
		List<String> entryUrls = deployment.httpUrls()
			.stream()
			.filter((url) -> !url.equals(drained.httpUrl()))
			.toList();
		List<LoadPhase> phases = List.of(new LoadPhase(LOAD_SECONDS, LOAD_SHARE * deployment.plan().capacity()));
		AtomicLong stopMicroseconds = new AtomicLong();
		ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
		try (LoadGenerator generator = new LoadGenerator(entryUrls, DeploymentPlan.TENANT, SINGLE_ATTEMPT)) {
			timer.schedule(() -> {
				stopMicroseconds.set(System.currentTimeMillis() * 1_000);
				process.signal(ProcessSignal.TERM);
				return null;
			}, STOP_AFTER_SECONDS, TimeUnit.SECONDS);
			LoadResult result = generator.run(ArrivalSchedule.create(seed, phases, deployment.plan().callerKinds()),
					(record) -> {
					});
			boolean exited = process.awaitExit(EXIT_LIMIT_SECONDS);
			ObjectNode report = report(drained, result, new HistoryReader().read(deployment.historyFile()),
					stopMicroseconds.get());
			report.put("nodeEnded", exited);
			return report;
		}
		finally {
			timer.shutdownNow();
		}
	}

	// A request counts as cut if it ran on the node at or after the stop and its caller
	// received neither a complete response nor a refusal.
	private static ObjectNode report(DeployedNode drained, LoadResult result, List<HistoryRun> runs,
			long stopMicroseconds) {
		long lastStart = stopMicroseconds;
		int runsBeforeStop = 0;
		Set<String> inProgress = new HashSet<>();
		for (HistoryRun run : runs) {
			if (!run.ran() || !run.server().equals(drained.backendAddress())) {
				continue;
			}
			runsBeforeStop += (run.startMicroseconds() < stopMicroseconds) ? 1 : 0;
			if (run.endMicroseconds() == 0 || run.endMicroseconds() >= stopMicroseconds) {
				inProgress.add(run.root());
			}
			lastStart = Math.max(lastStart, run.startMicroseconds());
		}
		Map<String, Integer> outcomes = new TreeMap<>();
		int requestsCut = 0;
		for (CallerRecord record : result.records()) {
			outcomes.merge(record.outcome().code(), 1, Integer::sum);
			boolean answered = record.outcome() == CallerOutcome.COMPLETED || record.outcome() == CallerOutcome.REFUSED;
			requestsCut += (!answered && inProgress.contains(record.arrival().requestId())) ? 1 : 0;
		}
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		report.put("newWorkAfterSeconds", (lastStart - stopMicroseconds) / MICROSECONDS_PER_SECOND);
		report.put("requestsCut", requestsCut);
		report.put("requestsInProgressAtStop", inProgress.size());
		report.put("runsAtNodeBeforeStop", runsBeforeStop);
		report.put("requests", result.records().size());
		outcomes.forEach((outcome, count) -> report.put("requests-" + outcome, count));
		return report;
	}

}
