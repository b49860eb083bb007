package org.wasabicart.experiment.harness;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.wasabicart.standin.caller.ArrivalSchedule;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.CallerKind;
import org.wasabicart.standin.caller.LoadGenerator;
import org.wasabicart.standin.caller.LoadPhase;

/**
 * Sends idempotent requests at a low rate to several deployments concurrently, so that
 * class loading and JIT compilation do not distort a measurement.
 */
public final class WarmUp {

	// Differs from the seeds of measurements, because equal seeds give equal request ids.
	private static final long SEED = 1_000_003;

	private static final double SHARE_OF_CAPACITY = 0.4;

	private static final CallerBehaviour SINGLE_ATTEMPT = new CallerBehaviour(1_000, 1, 0, false);

	private WarmUp() {
	}

	/**
	 * Warms up deployments.
	 * @param deployments deployments that are ready
	 * @param seconds duration
	 * @throws Exception if requests could not be sent
	 */
	public static void run(List<Deployment> deployments, double seconds) throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(deployments.size());
		try {
			List<Callable<Void>> loads = new ArrayList<>();
			for (Deployment deployment : deployments) {
				loads.add(() -> load(deployment, seconds));
			}
			for (Future<Void> load : threads.invokeAll(loads)) {
				load.get();
			}
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static Void load(Deployment deployment, double seconds) throws InterruptedException {
		DeploymentPlan plan = deployment.plan();
		List<CallerKind> kinds = plan.callerKinds().stream().filter((kind) -> !kind.order()).toList();
		List<LoadPhase> phases = List.of(new LoadPhase(seconds, SHARE_OF_CAPACITY * plan.capacity()));
		try (LoadGenerator generator = new LoadGenerator(deployment.httpUrls(), DeploymentPlan.TENANT,
				SINGLE_ATTEMPT)) {
			generator.run(ArrivalSchedule.create(SEED, phases, kinds), (record) -> {
			});
		}
		return null;
	}

}
