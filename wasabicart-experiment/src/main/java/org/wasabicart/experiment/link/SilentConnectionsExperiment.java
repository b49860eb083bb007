package org.wasabicart.experiment.link;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;
import org.wasabicart.experiment.KleinhansRun;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.EntryLoads;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.CallerOutcome;
import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadPhase;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Silences all open connections between nodes simultaneously, twice in a row: the relay
 * keeps them open but discards their data. Measures the time until each entry node
 * answers again.
 */
public final class SilentConnectionsExperiment implements Experiment {

	private static final double WARM_UP_SECONDS = 5;

	private static final double LOAD_SECONDS = 14;

	/** Times of the two silences, relative to the start of the load. */
	private static final long[] SILENCE_OFFSETS_MILLISECONDS = { 4_000, 7_000 };

	private static final double LOAD_SHARE = 0.4;

	private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

	private static final double MICROSECONDS_PER_SECOND = 1e6;

	private static final CallerBehaviour SINGLE_ATTEMPT = new CallerBehaviour(5_000, 1, 50, true);

	@Override
	public String name() {
		return "silent";
	}

	@Override
	public String description() {
		return "Time until nodes answer again after all their connections fall silent, twice";
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		return KleinhansRun.measure(arguments, WARM_UP_SECONDS, SilentConnectionsExperiment::runLoad);
	}

	private static ObjectNode runLoad(Deployment deployment, long seed) throws Exception {
		List<List<String>> entries = deployment.httpUrls().stream().map(List::of).toList();
		LoadPhase phase = new LoadPhase(LOAD_SECONDS, LOAD_SHARE * deployment.plan().capacity());
		long start = System.currentTimeMillis();
		try (EntryLoads loads = EntryLoads.start(deployment, entries, phase, SINGLE_ATTEMPT, seed)) {
			List<Long> silenceTimesMicroseconds = new ArrayList<>();
			for (long offset : SILENCE_OFFSETS_MILLISECONDS) {
				Thread.sleep(Math.max(0, start + offset - System.currentTimeMillis()));
				silenceTimesMicroseconds.add(System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND);
				silenceAll(deployment);
			}
			return report(loads.await().stream().map(LoadResult::records).toList(), silenceTimesMicroseconds);
		}
	}

	private static void silenceAll(Deployment deployment) throws Exception {
		deployment.httpControl()
			.post(deployment.relayUrl() + "/standin/faults",
					"{\"silenceExisting\": [{\"from\": \"*\", \"to\": \"*\"}]}");
	}

	private static ObjectNode report(List<List<CallerRecord>> entries, List<Long> silenceTimesMicroseconds) {
		List<Double> seconds = new ArrayList<>();
		int withoutAnswer = 0;
		int requests = 0;
		int failedLookups = 0;
		int unansweredOrders = 0;
		for (List<CallerRecord> records : entries) {
			requests += records.size();
			for (CallerRecord record : records) {
				boolean answered = record.outcome() == CallerOutcome.COMPLETED;
				boolean order = record.arrival().kind().order();
				failedLookups += (!answered && !order) ? 1 : 0;
				unansweredOrders += (!answered && order) ? 1 : 0;
			}
			for (long silenceMicroseconds : silenceTimesMicroseconds) {
				OptionalLong first = firstAnswer(records, silenceMicroseconds);
				withoutAnswer += first.isPresent() ? 0 : 1;
				first.ifPresent((end) -> seconds.add((end - silenceMicroseconds) / MICROSECONDS_PER_SECOND));
			}
		}
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		seconds.sort(null);
		report.put("secondsToFirstAnswerMedian", quantile(seconds, 0.5));
		report.put("secondsToFirstAnswerP99", quantile(seconds, 0.99));
		report.put("silencesWithoutAnswer", withoutAnswer);
		report.put("requests", requests);
		report.put("lookupsFailedThatCouldHaveBeenAnswered", failedLookups);
		report.put("ordersNotAnswered", unansweredOrders);
		return report;
	}

	private static OptionalLong firstAnswer(List<CallerRecord> records, long silenceMicroseconds) {
		return records.stream()
			.filter((record) -> record.sentMicroseconds() > silenceMicroseconds)
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
