package org.wasabicart.experiment.orders;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;
import org.wasabicart.experiment.ScaledPlans;
import org.wasabicart.experiment.figures.HistoryReader;
import org.wasabicart.experiment.figures.OrderFigures;
import org.wasabicart.experiment.harness.ControlMode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.ProcessHarness;
import org.wasabicart.experiment.harness.WarmUp;
import org.wasabicart.standin.caller.ArrivalSchedule;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.CallerKind;
import org.wasabicart.standin.caller.CallerOutcome;
import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadGenerator;
import org.wasabicart.standin.caller.LoadPhase;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Sends requests, orders among them, while nodes are killed, paused and drained and the
 * store fails, and then compares the callers' results with the backend servers'
 * histories.
 */
public final class OrdersExperiment implements Experiment {

	private static final String DEFAULT_SECONDS = "20";

	private static final double MAXIMUM_SECONDS = 30;

	private static final double WARM_UP_SECONDS = 3;

	private static final double SHARE_OF_CAPACITY = 0.4;

	private static final double ORDER_SHARE = 0.5;

	private static final CallerBehaviour RETRYING_CALLERS = new CallerBehaviour(5000, 4, 50, true);

	@Override
	public String name() {
		return "orders";
	}

	@Override
	public String description() {
		return "Orders while nodes and the store fail, checked against the backend servers' histories";
	}

	@Override
	public void declareFlags(OptionParser parser) {
		parser.accepts("seconds", "Duration of the load in seconds").withRequiredArg().defaultsTo(DEFAULT_SECONDS);
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		double seconds = Math.min(MAXIMUM_SECONDS, arguments.decimal("seconds"));
		try (ProcessHarness harness = new ProcessHarness();
				Deployment deployment = Deployment.start(harness, ScaledPlans.kleinhans(), ControlMode.WASABICART,
						arguments.addressPrefix())) {
			deployment.awaitReady();
			WarmUp.run(List.of(deployment), WARM_UP_SECONDS);
			return runLoad(deployment, seconds, arguments);
		}
	}

	private static ObjectNode runLoad(Deployment deployment, double seconds, ExperimentArguments arguments)
			throws Exception {
		DeploymentPlan plan = deployment.plan();
		List<LoadPhase> phases = List.of(new LoadPhase(seconds, SHARE_OF_CAPACITY * plan.capacity()));
		List<PlannedFault> faults = FaultSchedule.create(arguments.seed(), seconds, deployment.nodes().size());
		try (LoadGenerator generator = new LoadGenerator(deployment.httpUrls(), DeploymentPlan.TENANT,
				RETRYING_CALLERS); FaultInjector injector = new FaultInjector(deployment, arguments.output())) {
			injector.start(faults);
			LoadResult result = generator.run(ArrivalSchedule.create(arguments.seed(), phases, plan.callerKinds()),
					(record) -> {
					});
			injector.awaitFaults();
			ObjectNode report = report(result.records(),
					OrderFigures.of(result.records(), new HistoryReader().read(deployment.historyFile())));
			return report.put("seed", arguments.seed()).put("faults", injector.injected());
		}
	}

	// Raises the share of orders to about a half, so that each fault affects some orders.
	private static List<CallerKind> withMoreOrders(DeploymentPlan plan) {
		return plan.callerKinds()
			.stream()
			.map((kind) -> new CallerKind(kind.name(), kind.pathPrefix(), kind.order(), kind.deadlineMilliseconds(),
					kind.order() ? ORDER_SHARE : (1 - ORDER_SHARE) * kind.share()))
			.toList();
	}

	private static ObjectNode report(List<CallerRecord> records, OrderFigures figures) {
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		report.put("ordersSent", figures.sent());
		report.put("ordersDoubled", figures.doubled());
		report.put("ordersLost", figures.lost());
		report.put("falseNotRun", figures.falseNotRun());
		ObjectNode unknown = report.putObject("unknown");
		unknown.put("share", (figures.sent() > 0) ? (double) figures.unknown() / figures.sent() : 0);
		ObjectNode causes = unknown.putObject("causes");
		records.stream()
			.filter((record) -> record.arrival().kind().order())
			.filter(OrdersExperiment::isUnknown)
			.forEach((record) -> {
				String cause = record.reason().isEmpty() ? record.outcome().code() : record.reason();
				causes.put(cause, causes.path(cause).asLong() + 1);
			});
		report.put("wrongAnswers", count(records, CallerOutcome.WRONG_ANSWER));
		report.put("partialAnswers", count(records, CallerOutcome.PARTIAL_ANSWER));
		return report;
	}

	private static boolean isUnknown(CallerRecord record) {
		return record.outcome() == CallerOutcome.UNKNOWN || record.outcome() == CallerOutcome.TIMED_OUT;
	}

	private static long count(List<CallerRecord> records, CallerOutcome outcome) {
		return records.stream().filter((record) -> record.outcome() == outcome).count();
	}

}
