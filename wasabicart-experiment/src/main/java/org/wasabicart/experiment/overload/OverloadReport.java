package org.wasabicart.experiment.overload;

import java.util.List;
import java.util.OptionalDouble;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.experiment.figures.CallerFigures;
import org.wasabicart.experiment.figures.HistoryRun;
import org.wasabicart.experiment.figures.RunFigures;
import org.wasabicart.experiment.figures.TimeWindow;
import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.KindModel;
import org.wasabicart.experiment.harness.ServiceModel;
import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Computes the report fields of one control mode in an overload experiment.
 */
final class OverloadReport {

	private static final double MICROSECONDS_PER_SECOND = 1e6;

	private static final double MICROSECONDS_PER_MILLISECOND = 1e3;

	private static final double P99 = 99;

	private final DeploymentPlan plan;

	private final OverloadScenario scenario;

	private final LoadResult result;

	private final RunFigures runs;

	private final CallerFigures callers;

	OverloadReport(DeploymentPlan plan, OverloadScenario scenario, LoadResult result, List<HistoryRun> history) {
		this.plan = plan;
		this.scenario = scenario;
		this.result = result;
		this.runs = new RunFigures(history);
		this.callers = new CallerFigures(plan, result);
	}

	ObjectNode json(long regionBytes) {
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		TimeWindow trigger = this.scenario.trigger();
		double capacity = this.plan.capacity() * this.scenario.triggerCapacityShare();
		double goodput = this.callers.goodput(trigger);
		report.put("capacity", round(capacity));
		report.put("goodput", round(goodput));
		report.put("goodputShareOfCapacity", round(goodput / Math.min(capacity, demand())));
		report.set("goodputByImportance", byImportance(trigger));
		report.put("credit", round(this.callers.credit(trigger)));
		report.put("wastedWorkShare", round(wastedWorkShare(trigger)));
		report.put("regionBytes", regionBytes);
		OptionalDouble recovery = this.callers.recoverySeconds(this.scenario.before(), trigger.toSeconds(),
				this.scenario.loadEndSeconds());
		if (recovery.isPresent()) {
			report.put("recoverySeconds", round(recovery.getAsDouble()));
		}
		else {
			report.putNull("recoverySeconds");
		}
		report.put("maximumAttemptsPerRequest", this.runs.maximumAttempts());
		report.put("requestsBeyondAttemptBound", beyondAttemptBound());
		report.put("amplification", round(this.runs.amplification()));
		report.put("priorityInversions", this.callers.priorityInversions(trigger));
		report.put("addedP99Milliseconds",
				round(this.callers.addedLatency(this.scenario.before(), this.runs.serviceMicroseconds())
					.getValueAtPercentile(P99) / MICROSECONDS_PER_MILLISECOND));
		report.put("goodputBefore", round(this.callers.goodput(this.scenario.before())));
		report.set("outcomes", this.callers.outcomes());
		report.put("generatorLagMilliseconds", round(this.result.maximumLagNanoseconds() / 1e6));
		return report;
	}

	private double demand() {
		return this.scenario.triggerLoad() * this.plan.capacity();
	}

	private ObjectNode byImportance(TimeWindow window) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		this.callers.byImportance(window).descendingMap().forEach((importance, counts) -> {
			ObjectNode entry = json.putObject(Integer.toString(importance));
			entry.put("demandPerSecond", round(counts.arrived() / window.seconds()));
			entry.put("goodputPerSecond", round(counts.good() / window.seconds()));
			entry.put("share", round(counts.answeredShare()));
		});
		return json;
	}

	private double wastedWorkShare(TimeWindow window) {
		long from = this.result.startMicroseconds() + Math.round(window.fromSeconds() * MICROSECONDS_PER_SECOND);
		long to = this.result.startMicroseconds() + Math.round(window.toSeconds() * MICROSECONDS_PER_SECOND);
		return this.runs.wastedWorkShare(from, to, this.callers.rootsAnsweredInTime());
	}

	// The bound is the number of calls in the call tree without retries, plus the retry
	// allowance of the kind.
	private long beyondAttemptBound() {
		long beyond = 0;
		for (CallerRecord record : this.result.records()) {
			KindModel kind = this.plan.kind(record.arrival().kind().name());
			int bound = logicalCalls(kind.entryService()) + kind.retryAllowance();
			if (this.runs.attempts(record.arrival().requestId()) > bound) {
				beyond++;
			}
		}
		return beyond;
	}

	private int logicalCalls(String service) {
		ServiceModel model = this.plan.service(service);
		int calls = 1;
		for (String called : model.calls()) {
			calls += logicalCalls(called);
		}
		return calls;
	}

	private static double round(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

}
