package org.wasabicart.experiment;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.wasabicart.experiment.harness.ControlMode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.ProcessHarness;
import org.wasabicart.experiment.harness.WarmUp;

/**
 * Starts the scaled Kleinhans deployment, measures it after a warm-up, and ends its
 * processes.
 */
public final class KleinhansRun {

	private KleinhansRun() {
	}

	/**
	 * Starts the deployment, warms it up and measures it.
	 * @param arguments arguments of the experiment
	 * @param warmUpSeconds duration of the warm-up
	 * @param measurement what to measure on the deployment
	 * @return the report of the measurement
	 * @throws Exception if the deployment could not be started or measured
	 */
	public static JsonNode measure(ExperimentArguments arguments, double warmUpSeconds, Measurement measurement)
			throws Exception {
		try (ProcessHarness harness = new ProcessHarness();
				Deployment deployment = Deployment.start(harness, ScaledPlans.kleinhans(), ControlMode.WASABICART,
						arguments.addressPrefix())) {
			deployment.awaitReady();
			WarmUp.run(List.of(deployment), warmUpSeconds);
			return measurement.measure(deployment, arguments.seed());
		}
	}

	/**
	 * Measurement of a deployment that was warmed up.
	 */
	@FunctionalInterface
	public interface Measurement {

		/**
		 * Measures a deployment.
		 * @param deployment deployment after its warm-up
		 * @param seed seed of all random choices
		 * @return the report
		 * @throws Exception if the measurement could not run
		 */
		JsonNode measure(Deployment deployment, long seed) throws Exception;

	}

}
