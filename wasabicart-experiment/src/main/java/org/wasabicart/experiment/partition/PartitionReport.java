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
 * Figures of the parts of a deployment that were cut from each other.
 */
final class PartitionReport {

	private static final double MICROSECONDS_PER_SECOND = 1e6;

	private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

	// A request that arrives shortly before the next partition can still be hit by it;
	// the longest deadline of the kinds is 1.5 s.
	private static final double MARGIN_SECONDS = 1.5;

	// The first second of the load opens the callers' connections.
	private static final double SETTLING_SECONDS = 1;

	private final DeploymentPlan plan;

	private final List<String> parts;

	private final List<LoadResult> results;

	private final List<Cut> cuts;

	private final List<HistoryRun> history;

	private final Map<String, String> partOfServer;

	private final RunFigures runs;

	private final Set<String> rootsThatRan = new HashSet<>();

	PartitionReport(DeploymentPlan plan, List<String> parts, List<LoadResult> results, List<Cut> cuts,
			List<HistoryRun> history, Map<String, String> partOfServer) {
		this.plan = plan;
		this.parts = parts;
		this.results = results;
		this.cuts = cuts;
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
		for (Cut cut : this.cuts) {
			latest = later(latest, addHealing(cut, byCut.putObject(cut.name())));
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
			addRates(index, part.putObject("before"), figures, before(result));
			for (Cut cut : this.cuts) {
				addRates(index, part.putObject(cut.name()), figures, cut.window(result));
			}
			part.set("outcomes", figures.outcomes());
			part.put("generatorLagMilliseconds", result.maximumLagNanoseconds() / NANOSECONDS_PER_MILLISECOND);
		}
	}

	private void addRates(int index, ObjectNode json, CallerFigures figures, TimeWindow window) {
		long arrived = figures.byImportance(window).values().stream().mapToLong(CallerFigures.Demand::arrived).sum();
		json.put("goodput", figures.goodput(window));
		json.put("offered", arrived / window.seconds());
		json.put("runsInOtherPart", runsInOtherPart(index, window));
	}

	// Shows whether a cut was in force: a part's requests then start no run elsewhere,
	// apart from those on their way when it began.
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

	private TimeWindow before(LoadResult result) {
		return new TimeWindow(SETTLING_SECONDS, this.cuts.get(0).window(result).fromSeconds() - MARGIN_SECONDS / 2);
	}

	private void addRequests(ObjectNode report) {
		int requests = 0;
		int truthful = 0;
		int falseWhileCut = 0;
		int wrong = 0;
		for (LoadResult result : this.results) {
			for (CallerRecord record : result.records()) {
				requests++;
				wrong += wrong(record) ? 1 : 0;
				if (whileCut(record) && markedNotRun(record)) {
					truthful += ran(record) ? 0 : 1;
					falseWhileCut += ran(record) ? 1 : 0;
				}
			}
		}
		report.put("refusedTruthfullyWhileCut", truthful);
		report.put("refusedFalselyWhileCut", falseWhileCut);
		report.put("requestsWrong", wrong);
		report.put("requests", requests);
	}

	private boolean whileCut(CallerRecord record) {
		return this.cuts.stream().anyMatch((cut) -> cut.contains(record.endMicroseconds()));
	}

	private static boolean markedNotRun(CallerRecord record) {
		return record.outcome() == CallerOutcome.REFUSED && record.execution().equals("not-run");
	}

	private boolean ran(CallerRecord record) {
		return this.rootsThatRan.contains(record.arrival().requestId());
	}

	private boolean wrong(CallerRecord record) {
		String root = record.arrival().requestId();
		return switch (record.outcome()) {
			case WRONG_ANSWER, PARTIAL_ANSWER -> true;
			case COMPLETED -> !this.runs.completed(root, record.arrival().path()) || doubled(record);
			case REFUSED -> ran(record);
			default -> doubled(record);
		};
	}

	private boolean doubled(CallerRecord record) {
		return record.arrival().kind().order() && this.runs.ranTwice(record.arrival().requestId());
	}

	private OptionalDouble addHealing(Cut cut, ObjectNode json) {
		OptionalDouble members = cut.membersMicroseconds().isPresent()
				? OptionalDouble
					.of((cut.membersMicroseconds().getAsLong() - cut.toMicroseconds()) / MICROSECONDS_PER_SECOND)
				: OptionalDouble.empty();
		OptionalDouble goodput = OptionalDouble.of(0);
		for (LoadResult result : this.results) {
			goodput = later(goodput, new CallerFigures(this.plan, result).recoverySeconds(before(result),
					cut.window(result).toSeconds(), cut.endSeconds(result) - MARGIN_SECONDS));
		}
		put(json, "members", members);
		put(json, "goodput", goodput);
		json.put("fewestMembersListed", cut.fewestMembers());
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
