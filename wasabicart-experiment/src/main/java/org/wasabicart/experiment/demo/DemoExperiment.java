package org.wasabicart.experiment.demo;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;
import org.wasabicart.experiment.ScaledPlans;
import org.wasabicart.experiment.figures.HistoryReader;
import org.wasabicart.experiment.figures.TimeWindow;
import org.wasabicart.experiment.harness.ControlMode;
import org.wasabicart.experiment.harness.DeployedNode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.KindModel;
import org.wasabicart.experiment.harness.ProcessHarness;
import org.wasabicart.experiment.harness.WarmUp;
import org.wasabicart.standin.caller.ArrivalSchedule;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.LoadGenerator;
import org.wasabicart.standin.caller.LoadPhase;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Demonstrates the Kleinhans deployment: the bottleneck service slows down during a surge
 * of demand.
 */
public final class DemoExperiment implements Experiment {

	private static final String DEFAULT_SECONDS = "30";

	// Leaves time for startup within the 60 s limit of a demonstration.
	private static final double MAXIMUM_SECONDS = 45;

	private static final double WARM_UP_SECONDS = 4;

	// The next three shares are parts of the load's duration.
	private static final double SETTLE_SHARE = 0.1;

	private static final double BEFORE_SHARE = 0.2;

	private static final double SURGE_SHARE = 0.35;

	// Both loads are multiples of the bottleneck service's capacity.
	private static final double BASE_LOAD = 0.6;

	private static final double SURGE_LOAD = 4;

	static final double SLOW_FACTOR = 1.5;

	private static final CallerBehaviour RETRYING_CALLERS = new CallerBehaviour(800, 4, 50, true);

	private static final double MILLISECONDS_PER_SECOND = 1e3;

	@Override
	public String name() {
		return "demo";
	}

	@Override
	public String description() {
		return "Kleinhans' services under a surge, with live goodput by kind";
	}

	@Override
	public void declareFlags(OptionParser parser) {
		parser.accepts("seconds", "Duration of the load in seconds").withRequiredArg().defaultsTo(DEFAULT_SECONDS);
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		double seconds = Math.min(MAXIMUM_SECONDS, arguments.decimal("seconds"));
		DeploymentPlan plan = ScaledPlans.kleinhans();
		PrintStream output = arguments.output();
		output.printf(
				"Kleinhans' deployment, scaled: slots and connections 1:%d, one server of each of %d services in "
						+ "each of %d failure domains%n",
				ScaledPlans.KLEINHANS_DIVISOR, plan.services().size(), plan.domains().size());
		output.printf("Bottleneck %s: capacity %.1f requests/s by slots and service time%n", plan.bottleneck().name(),
				plan.capacity());
		try (ProcessHarness harness = new ProcessHarness();
				Deployment deployment = Deployment.start(harness, plan, ControlMode.WASABICART,
						arguments.addressPrefix())) {
			deployment.awaitReady();
			WarmUp.run(List.of(deployment), WARM_UP_SECONDS);
			output.printf("%d processes are running, and the configuration is published%n", harness.processes().size());
			return runLoad(deployment, seconds, arguments.seed(), output);
		}
	}

	private ObjectNode runLoad(Deployment deployment, double seconds, long seed, PrintStream output) throws Exception {
		DeploymentPlan plan = deployment.plan();
		double surgeStart = seconds * (SETTLE_SHARE + BEFORE_SHARE);
		TimeWindow before = new TimeWindow(seconds * SETTLE_SHARE, surgeStart);
		TimeWindow surge = new TimeWindow(surgeStart, surgeStart + seconds * SURGE_SHARE);
		List<LoadPhase> phases = List.of(new LoadPhase(surgeStart, BASE_LOAD * plan.capacity()),
				new LoadPhase(surge.seconds(), SURGE_LOAD * plan.capacity()),
				new LoadPhase(seconds - surge.toSeconds(), BASE_LOAD * plan.capacity()));
		ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
		try (LoadGenerator generator = new LoadGenerator(deployment.httpUrls(), DeploymentPlan.TENANT,
				RETRYING_CALLERS);
				LiveGoodput live = new LiveGoodput(plan.kinds().stream().map(KindModel::name).toList(), output)) {
			live.phase("normal");
			schedule(timer, surge.fromSeconds(), () -> beginSurge(deployment, live, output));
			schedule(timer, surge.toSeconds(), () -> endSurge(deployment, live, output));
			live.start();
			LoadResult result = generator.run(ArrivalSchedule.create(seed, phases, plan.callerKinds()), live);
			output.println(DemoReport.refusalSummary(result.records()));
			return new DemoReport(plan, result, new HistoryReader().read(deployment.historyFile())).json(before, surge,
					seconds);
		}
		finally {
			timer.shutdownNow();
		}
	}

	private static void beginSurge(Deployment deployment, LiveGoodput live, PrintStream output) throws Exception {
		live.phase("surge");
		output.printf("Surge: demand %.0f times the capacity, %s slows down by a factor of %.1f%n", SURGE_LOAD,
				deployment.plan().bottleneck().name(), SLOW_FACTOR);
		setSlowFactor(deployment, SLOW_FACTOR);
	}

	private static void endSurge(Deployment deployment, LiveGoodput live, PrintStream output) throws Exception {
		live.phase("after");
		output.println("The surge has ended");
		setSlowFactor(deployment, 1);
	}

	private static void setSlowFactor(Deployment deployment, double factor) throws Exception {
		for (DeployedNode node : deployment.nodes(deployment.plan().bottleneck().name())) {
			deployment.httpControl().post(node.backendFaultsUrl(), "{\"slowFactor\":" + factor + "}");
		}
	}

	private static void schedule(ScheduledExecutorService timer, double seconds, TimedAction action) {
		timer.schedule(() -> {
			action.run();
			return null;
		}, Math.round(seconds * MILLISECONDS_PER_SECOND), TimeUnit.MILLISECONDS);
	}

	/**
	 * Scheduled action that may throw a checked exception.
	 */
	@FunctionalInterface
	private interface TimedAction {

		void run() throws Exception;

	}

}
