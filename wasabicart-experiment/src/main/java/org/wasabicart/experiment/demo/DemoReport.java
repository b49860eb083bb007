package org.wasabicart.experiment.demo;

import java.util.List;
import java.util.OptionalDouble;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;

import org.wasabicart.experiment.figures.CallerFigures;
import org.wasabicart.experiment.figures.HistoryRun;
import org.wasabicart.experiment.figures.OrderFigures;
import org.wasabicart.experiment.figures.RunFigures;
import org.wasabicart.experiment.figures.TimeWindow;
import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.KindModel;
import org.wasabicart.standin.caller.CallerOutcome;
import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Computes the report of the demonstration.
 */
final class DemoReport {

	private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

	private static final double MEDIAN = 50;

	private static final double P99 = 99;

	private final DeploymentPlan plan;

	private final LoadResult result;

	private final List<HistoryRun> history;

	private final CallerFigures callers;

	DemoReport(DeploymentPlan plan, LoadResult result, List<HistoryRun> history) {
		this.plan = plan;
		this.result = result;
		this.history = history;
		this.callers = new CallerFigures(plan, result);
	}

	ObjectNode json(TimeWindow before, TimeWindow surge, double loadEnd) {
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		OrderFigures orders = OrderFigures.of(this.result.records(), this.history);
		report.put("ordersSent", orders.sent());
		report.put("ordersLost", orders.lost());
		report.put("ordersDoubled", orders.doubled());
		report.put("ordersUnknown", orders.unknown());
		report.put("wrongAnswers", count(CallerOutcome.WRONG_ANSWER) + count(CallerOutcome.PARTIAL_ANSWER));
		report.set("goodput", goodput(new TimeWindow(before.fromSeconds(), loadEnd)));
		report.set("goodputDuringSurge", goodput(surge));
		OptionalDouble recovery = this.callers.recoverySeconds(before, surge.toSeconds(), loadEnd);
		if (recovery.isPresent()) {
			report.put("recoverySeconds", round(recovery.getAsDouble()));
		}
		else {
			report.putNull("recoverySeconds");
		}
		report.set("latencyMilliseconds", latencies());
		report.put("retriesPerRequest", round(new RunFigures(this.history).amplification() - 1));
		report.put("capacity", round(this.plan.capacity()));
		report.put("capacityDuringSurge", round(this.plan.capacity() / DemoExperiment.SLOW_FACTOR));
		report.set("refusedByImportance", byImportance(surge, true));
		report.set("goodputByImportance", byImportance(surge, false));
		report.set("outcomes", this.callers.outcomes());
		return report;
	}

	private long count(CallerOutcome outcome) {
		return this.result.records().stream().filter((record) -> record.outcome() == outcome).count();
	}

	private ObjectNode goodput(TimeWindow window) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		for (KindModel kind : this.plan.kinds()) {
			json.put(kind.name(), round(this.callers.goodput(window, kind.name())));
		}
		return json;
	}

	private ObjectNode latencies() {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		for (KindModel kind : this.plan.kinds()) {
			Histogram histogram = this.result.latencies(kind.name());
			json.putObject(kind.name())
				.put("median", round(histogram.getValueAtPercentile(MEDIAN) / NANOSECONDS_PER_MILLISECOND))
				.put("p99", round(histogram.getValueAtPercentile(P99) / NANOSECONDS_PER_MILLISECOND))
				.put("maximum", round(histogram.getMaxValue() / NANOSECONDS_PER_MILLISECOND));
		}
		return json;
	}

	private ObjectNode byImportance(TimeWindow window, boolean unanswered) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		this.callers.byImportance(window).descendingMap().forEach((importance, counts) -> {
			double share = unanswered ? 1 - counts.answeredShare() : counts.answeredShare();
			json.put(Integer.toString(importance), round(share));
		});
		return json;
	}

	static String refusalSummary(List<CallerRecord> records) {
		long refused = records.stream().filter((record) -> record.outcome() == CallerOutcome.REFUSED).count();
		return refused + " of " + records.size() + " requests were refused without being run";
	}

	private static double round(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

}
