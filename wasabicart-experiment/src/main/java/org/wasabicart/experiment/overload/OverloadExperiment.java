package org.wasabicart.experiment.overload;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;
import org.wasabicart.experiment.ScaledPlans;
import org.wasabicart.experiment.figures.HistoryReader;
import org.wasabicart.experiment.figures.HistoryRun;
import org.wasabicart.experiment.harness.ControlMode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.ProcessHarness;
import org.wasabicart.experiment.harness.WarmUp;
import org.wasabicart.standin.caller.Arrival;
import org.wasabicart.standin.caller.ArrivalSchedule;
import org.wasabicart.standin.caller.LoadGenerator;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Runs the same load and trigger against each control mode in sequence.
 */
public final class OverloadExperiment implements Experiment {

	private static final String DEFAULT_MULTIPLE = "5";

	private static final double WARM_UP_SECONDS = 3;

	private static final double MILLISECONDS_PER_SECOND = 1e3;

	private final String name;

	private final String description;

	private final Function<ExperimentArguments, OverloadScenario> scenarioFactory;

	private OverloadExperiment(OverloadScenario example,
			Function<ExperimentArguments, OverloadScenario> scenarioFactory) {
		this.name = example.name();
		this.description = example.description();
		this.scenarioFactory = scenarioFactory;
	}

	/**
	 * Returns the overload experiments.
	 * @return the experiments
	 */
	public static List<Experiment> all() {
		List<Experiment> experiments = new ArrayList<>();
		experiments.add(new OverloadExperiment(OverloadScenarios.surge(1),
				(arguments) -> OverloadScenarios.surge(arguments.decimal("multiple"))));
		for (OverloadScenario scenario : List.of(OverloadScenarios.retryStorm(), OverloadScenarios.coldStart(),
				OverloadScenarios.misleadingHealth(), OverloadScenarios.slowService())) {
			experiments.add(new OverloadExperiment(scenario, (arguments) -> scenario));
		}
		return experiments;
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public String description() {
		return this.description;
	}

	@Override
	public void declareFlags(OptionParser parser) {
		parser.accepts("baseline", "all, or one of none, fixed and wasabicart").withRequiredArg().defaultsTo("all");
		parser.accepts("deployment", "kleinhans or hualien").withRequiredArg().defaultsTo("kleinhans");
		if (this.name.equals("surge")) {
			parser.accepts("multiple", "Demand during the surge as a multiple of the capacity")
				.withRequiredArg()
				.defaultsTo(DEFAULT_MULTIPLE);
		}
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		OverloadScenario scenario = this.scenarioFactory.apply(arguments);
		DeploymentPlan plan = ScaledPlans.of(arguments.text("deployment"));
		List<Arrival> arrivals = ArrivalSchedule.create(arguments.seed(), scenario.phases(plan.capacity()),
				plan.callerKinds());
		PrintStream output = arguments.output();
		output.printf("%s, %s: bottleneck %s, capacity %.1f requests/s by slots and service time, %d requests%n",
				this.name, plan.name(), plan.bottleneck().name(), plan.capacity(), arrivals.size());
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		try (ProcessHarness harness = new ProcessHarness()) {
			List<Deployment> deployments = new ArrayList<>();
			for (ControlMode mode : modes(arguments.text("baseline"))) {
				deployments.add(Deployment.start(harness, plan, mode, arguments.addressPrefix()));
			}
			for (Deployment deployment : deployments) {
				deployment.awaitReady();
			}
			WarmUp.run(deployments, WARM_UP_SECONDS);
			for (Deployment deployment : deployments) {
				ObjectNode figures = runLoad(deployment, scenario, arrivals);
				report.set(deployment.mode().flag(), figures);
				output.println(deployment.mode().flag() + ": " + new ObjectMapper().writeValueAsString(figures));
				deployment.close();
			}
		}
		report.put("seed", arguments.seed());
		report.put("deployment", plan.name());
		return report;
	}

	private static List<ControlMode> modes(String baseline) {
		if (baseline.equals("all")) {
			return List.of(ControlMode.values());
		}
		return List.of(ControlMode.valueOf(baseline.toUpperCase(Locale.ROOT)));
	}

	private static ObjectNode runLoad(Deployment deployment, OverloadScenario scenario, List<Arrival> arrivals)
			throws Exception {
		ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
		long bytesBefore = regionBytes(deployment);
		try (LoadGenerator generator = new LoadGenerator(deployment.httpUrls(), DeploymentPlan.TENANT,
				scenario.behaviour())) {
			schedule(timer, scenario.trigger().fromSeconds(), scenario.begin(), deployment);
			schedule(timer, scenario.trigger().toSeconds(), scenario.end(), deployment);
			LoadResult result = generator.run(arrivals, (record) -> {
			});
			long bytes = regionBytes(deployment) - bytesBefore;
			List<HistoryRun> history = new HistoryReader().read(deployment.historyFile());
			return new OverloadReport(deployment.plan(), scenario, result, history).json(bytes);
		}
		finally {
			timer.shutdownNow();
		}
	}

	private static void schedule(ScheduledExecutorService timer, double seconds, DeploymentAction action,
			Deployment deployment) {
		timer.schedule(() -> {
			action.apply(deployment);
			return null;
		}, Math.round(seconds * MILLISECONDS_PER_SECOND), TimeUnit.MILLISECONDS);
	}

	private static long regionBytes(Deployment deployment) throws Exception {
		String counts = deployment.httpControl().get(deployment.relayUrl() + "/standin/counts");
		return new ObjectMapper().readTree(counts).path("regionBytes").asLong();
	}

}
