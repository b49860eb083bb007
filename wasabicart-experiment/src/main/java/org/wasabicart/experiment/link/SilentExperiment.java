package org.wasabicart.experiment.link;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;
import org.wasabicart.experiment.ScaledPlans;
import org.wasabicart.experiment.harness.ControlMode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.ProcessHarness;
import org.wasabicart.experiment.harness.WarmUp;
import org.wasabicart.standin.caller.ArrivalSchedule;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.CallerOutcome;
import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadGenerator;
import org.wasabicart.standin.caller.LoadPhase;

/**
 * Makes all open connections between nodes silent at once, twice in a row, and measures
 * when each entry node answers again.
 */
public final class SilentExperiment implements Experiment {

	private static final double WARM_UP_SECONDS = 5;

	private static final double LOAD_SECONDS = 14;

	/** Times of the two silences after the start of the load. */
	private static final long[] SILENCE_MILLISECONDS = { 4_000, 7_000 };

	private static final double LOAD_SHARE = 0.4;

	private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

	private static final double MICROSECONDS_PER_SECOND = 1e6;

	private static final CallerBehaviour PATIENT = new CallerBehaviour(5_000, 1, 50, true);

	@Override
	public String name() {
		return "silent";
	}

	@Override
	public String description() {
		return "time until nodes answer again after all their connections went silent, twice";
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		DeploymentPlan plan = ScaledPlans.kleinhans();
		try (ProcessHarness harness = new ProcessHarness();
				Deployment deployment = Deployment.start(harness, plan, ControlMode.WASABICART,
						arguments.addressPrefix())) {
			deployment.awaitReady();
			WarmUp.run(List.of(deployment), WARM_UP_SECONDS);
			return drive(deployment, arguments.seed());
		}
	}

	private static ObjectNode drive(Deployment deployment, long seed) throws Exception {
		List<String> entries = deployment.httpUrls();
		ExecutorService threads = Executors.newFixedThreadPool(entries.size());
		try {
			long start = System.currentTimeMillis();
			List<Future<List<CallerRecord>>> running = new ArrayList<>();
			for (int index = 0; index < entries.size(); index++) {
				running.add(threads.submit(load(deployment, entries.get(index), seed + index, entries.size())));
			}
			List<Long> silences = new ArrayList<>();
			for (long at : SILENCE_MILLISECONDS) {
				Thread.sleep(Math.max(0, start + at - System.currentTimeMillis()));
				silences.add(System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND);
				silenceAll(deployment);
			}
			List<List<CallerRecord>> records = new ArrayList<>();
			for (Future<List<CallerRecord>> entry : running) {
				records.add(entry.get());
			}
			return report(records, silences);
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static void silenceAll(Deployment deployment) throws Exception {
		deployment.control()
			.post(deployment.relayUrl() + "/standin/faults",
					"{\"silenceExisting\": [{\"from\": \"*\", \"to\": \"*\"}]}");
	}

	private static Callable<List<CallerRecord>> load(Deployment deployment, String entry, long seed, int entries) {
		double rate = LOAD_SHARE * deployment.plan().capacity() / entries;
		return () -> {
			try (LoadGenerator generator = new LoadGenerator(List.of(entry), DeploymentPlan.TENANT, PATIENT)) {
				List<LoadPhase> phases = List.of(new LoadPhase(LOAD_SECONDS, rate));
				return generator
					.run(ArrivalSchedule.create(seed, phases, deployment.plan().callerKinds()), (record) -> {
					})
					.records();
			}
		};
	}

	private static ObjectNode report(List<List<CallerRecord>> entries, List<Long> silences) {
		List<Double> seconds = new ArrayList<>();
		int withoutAnswer = 0;
		int requests = 0;
		int failedLookups = 0;
		int unknownOrders = 0;
		for (List<CallerRecord> records : entries) {
			requests += records.size();
			for (CallerRecord record : records) {
				boolean answered = record.outcome() == CallerOutcome.COMPLETED;
				boolean order = record.arrival().kind().order();
				failedLookups += (!answered && !order) ? 1 : 0;
				unknownOrders += (!answered && order) ? 1 : 0;
			}
			for (long silence : silences) {
				OptionalLong first = firstAnswer(records, silence);
				withoutAnswer += first.isPresent() ? 0 : 1;
				first.ifPresent((end) -> seconds.add((end - silence) / MICROSECONDS_PER_SECOND));
			}
		}
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		seconds.sort(null);
		report.put("secondsToFirstAnswerMedian", quantile(seconds, 0.5));
		report.put("secondsToFirstAnswerP99", quantile(seconds, 0.99));
		report.put("silencesWithoutAnswer", withoutAnswer);
		report.put("requests", requests);
		report.put("lookupsFailedThatCouldHaveBeenAnswered", failedLookups);
		report.put("ordersNotAnswered", unknownOrders);
		return report;
	}

	private static OptionalLong firstAnswer(List<CallerRecord> records, long silence) {
		return records.stream()
			.filter((record) -> record.sentMicroseconds() > silence)
			.filter((record) -> record.outcome() == CallerOutcome.COMPLETED)
			.mapToLong(CallerRecord::endMicroseconds)
			.min();
	}

	private static double quantile(List<Double> sorted, double quantile) {
		if (sorted.isEmpty()) {
			return Double.NaN;
		}
		return sorted.get((int) Math.ceil(quantile * sorted.size()) - 1);
	}

}
