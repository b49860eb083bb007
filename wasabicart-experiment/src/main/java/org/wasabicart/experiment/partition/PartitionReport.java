package org.wasabicart.experiment.partition;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.experiment.figures.CallerFigures;
import org.wasabicart.experiment.figures.HistoryRun;
import org.wasabicart.experiment.figures.RunFigures;
import org.wasabicart.experiment.figures.TimeWindow;
import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.standin.caller.CallerOutcome;
import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Reports goodput, refusals and recovery of the parts of a partitioned deployment.
 */
final class PartitionReport {

	private static final double MICROSECONDS_PER_SECOND = 1e6;

	private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

	// A request that arrives shortly before the next partition can still be affected;
	// the longest deadline of the kinds is 1.5 s.
	private static final double MARGIN_SECONDS = 1.5;

	// The callers open their connections in the first second of the load.
	private static final double SETTLING_SECONDS = 1;

	private final DeploymentPlan plan;

	private final List<String> parts;

	private final List<LoadResult> results;

	private final List<NetworkPartition> partitions;

	private final List<HistoryRun> history;

	private final Map<String, String> partOfServer;

	private final RunFigures runs;

	private final Set<String> rootsThatRan = new HashSet<>();

	PartitionReport(DeploymentPlan plan, List<String> parts, List<LoadResult> results,
			List<NetworkPartition> partitions, List<HistoryRun> history, Map<String, String> partOfServer) {
		this.plan = plan;
		this.parts = parts;
		this.results = results;
		this.partitions = partitions;
		this.history = List.copyOf(history);
		this.partOfServer = Map.copyOf(partOfServer);
		this.runs = new RunFigures(history);
		history.stream().filter(HistoryRun::ran).forEach((run) -> this.rootsThatRan.add(run.root()));
	}

	ObjectNode toJson() {
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		addGoodput(report.putObject("goodputByPart"));
		addRequests(report);
		ObjectNode byCut = JsonNodeFactory.instance.objectNode();
		OptionalDouble latest = OptionalDouble.of(0);
		for (NetworkPartition partition : this.partitions) {
			latest = later(latest, addHealing(partition, byCut.putObject(partition.name())));
		}
		put(report, "healSeconds", latest);
		report.set("healSecondsByCut", byCut);
		return report;
	}

	private void addGoodput(ObjectNode report) {
		for (int index = 0; index < this.parts.size(); index++) {
			LoadResult result = this.results.get(index);
			CallerFigures figures = new CallerFigures(this.plan, result);
			ObjectNode part = report.putObject(this.parts.get(index));
			addRates(index, part.putObject("before"), figures, windowBefore(result));
			for (NetworkPartition partition : this.partitions) {
				addRates(index, part.putObject(partition.name()), figures, partition.window(result));
			}
			part.set("outcomes", figures.outcomes());
			part.put("generatorLagMilliseconds", result.maximumLagNanoseconds() / NANOSECONDS_PER_MILLISECOND);
		}
	}

	private void addRates(int index, ObjectNode json, CallerFigures figures, TimeWindow window) {
		long arrived = figures.byImportance(window)
			.values()
			.stream()
			.mapToLong(CallerFigures.RequestCounts::arrived)
			.sum();
		json.put("goodput", figures.goodput(window));
		json.put("offered", arrived / window.seconds());
		json.put("runsInOtherPart", runsInOtherPart(index, window));
	}

	// Shows whether a partition was in force: requests that enter one part then start no
	// run in the other, apart from those in transit when the partition began.
	private long runsInOtherPart(int index, TimeWindow window) {
		long start = this.results.get(index).startMicroseconds();
		long from = start + Math.round(window.fromSeconds() * MICROSECONDS_PER_SECOND);
		long to = start + Math.round(window.toSeconds() * MICROSECONDS_PER_SECOND);
		Set<String> roots = this.results.get(index)
			.records()
			.stream()
			.map((record) -> record.arrival().requestId())
			.collect(Collectors.toSet());
		return this.history.stream()
			.filter((run) -> run.ran() && run.startMicroseconds() >= from && run.startMicroseconds() < to)
			.filter((run) -> roots.contains(run.root()))
			.filter((run) -> !this.parts.get(index).equals(this.partOfServer.get(run.server())))
			.count();
	}

	private TimeWindow windowBefore(LoadResult result) {
		return new TimeWindow(SETTLING_SECONDS,
				this.partitions.get(0).window(result).fromSeconds() - MARGIN_SECONDS / 2);
	}

	private void addRequests(ObjectNode report) {
		int requests = 0;
		int trueRefusals = 0;
		int falseRefusals = 0;
		int wrong = 0;
		for (LoadResult result : this.results) {
			for (CallerRecord record : result.records()) {
				requests++;
				wrong += isWrong(record) ? 1 : 0;
				if (endedDuringPartition(record) && markedNotRun(record)) {
					trueRefusals += hasRun(record) ? 0 : 1;
					falseRefusals += hasRun(record) ? 1 : 0;
				}
			}
		}
		report.put("refusedTruthfullyWhileCut", trueRefusals);
		report.put("refusedFalselyWhileCut", falseRefusals);
		report.put("requestsWrong", wrong);
		report.put("requests", requests);
	}

	private boolean endedDuringPartition(CallerRecord record) {
		return this.partitions.stream().anyMatch((partition) -> partition.contains(record.endMicroseconds()));
	}

	private static boolean markedNotRun(CallerRecord record) {
		return record.outcome() == CallerOutcome.REFUSED && record.execution().equals("not-run");
	}

	private boolean hasRun(CallerRecord record) {
		return this.rootsThatRan.contains(record.arrival().requestId());
	}

	private boolean isWrong(CallerRecord record) {
		String root = record.arrival().requestId();
		return switch (record.outcome()) {
			case WRONG_ANSWER, PARTIAL_ANSWER -> true;
			case COMPLETED -> !this.runs.completed(root, record.arrival().path()) || isDoubledOrder(record);
			case REFUSED -> hasRun(record);
			default -> isDoubledOrder(record);
		};
	}

	private boolean isDoubledOrder(CallerRecord record) {
		return record.arrival().kind().order() && this.runs.ranTwice(record.arrival().requestId());
	}

	private OptionalDouble addHealing(NetworkPartition partition, ObjectNode json) {
		OptionalDouble members = partition.allMembersListedMicroseconds().isPresent()
				? OptionalDouble.of((partition.allMembersListedMicroseconds().getAsLong() - partition.toMicroseconds())
						/ MICROSECONDS_PER_SECOND)
				: OptionalDouble.empty();
		OptionalDouble goodput = OptionalDouble.of(0);
		for (LoadResult result : this.results) {
			goodput = later(goodput, new CallerFigures(this.plan, result).recoverySeconds(windowBefore(result),
					partition.window(result).toSeconds(), partition.endSeconds(result) - MARGIN_SECONDS));
		}
		put(json, "members", members);
		put(json, "goodput", goodput);
		json.put("fewestMembersListed", partition.fewestMembersListed());
		return later(members, goodput);
	}

	private static OptionalDouble later(OptionalDouble first, OptionalDouble second) {
		return (first.isPresent() && second.isPresent())
				? OptionalDouble.of(Math.max(first.getAsDouble(), second.getAsDouble())) : OptionalDouble.empty();
	}

	private static void put(ObjectNode json, String field, OptionalDouble value) {
		json.put(field, value.isPresent() ? (Double) value.getAsDouble() : null);
	}

}
