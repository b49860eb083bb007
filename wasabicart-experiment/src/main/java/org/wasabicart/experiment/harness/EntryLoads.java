package org.wasabicart.experiment.harness;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.wasabicart.standin.caller.ArrivalSchedule;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.LoadGenerator;
import org.wasabicart.standin.caller.LoadPhase;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Concurrent loads on one deployment, each sent through its own group of entry nodes.
 */
public final class EntryLoads implements AutoCloseable {

	private final ExecutorService threads;

	private final List<Future<LoadResult>> running = new ArrayList<>();

	private EntryLoads(int groups) {
		this.threads = Executors.newFixedThreadPool(groups);
	}

	/**
	 * Starts the loads.
	 * @param deployment deployment that receives the loads
	 * @param groups addresses of the entry nodes of each load
	 * @param phase duration of each load, and total rate of all loads, which is split
	 * evenly
	 * @param behaviour how callers retry requests
	 * @param seed seed of the first load; each further load uses the next seed, so that
	 * request ids differ between loads
	 * @return the loads
	 */
	public static EntryLoads start(Deployment deployment, List<List<String>> groups, LoadPhase phase,
			CallerBehaviour behaviour, long seed) {
		EntryLoads loads = new EntryLoads(groups.size());
		LoadPhase groupPhase = new LoadPhase(phase.seconds(), phase.ratePerSecond() / groups.size());
		for (int index = 0; index < groups.size(); index++) {
			List<String> entries = groups.get(index);
			long groupSeed = seed + index;
			loads.running.add(loads.threads.submit(() -> {
				try (LoadGenerator generator = new LoadGenerator(entries, DeploymentPlan.TENANT, behaviour)) {
					return generator.run(
							ArrivalSchedule.create(groupSeed, List.of(groupPhase), deployment.plan().callerKinds()),
							(record) -> {
							});
				}
			}));
		}
		return loads;
	}

	/**
	 * Waits until all loads have ended.
	 * @return the results in the order of the groups
	 * @throws Exception if a load failed
	 */
	public List<LoadResult> await() throws Exception {
		List<LoadResult> results = new ArrayList<>();
		for (Future<LoadResult> load : this.running) {
			results.add(load.get());
		}
		return results;
	}

	@Override
	public void close() {
		this.threads.shutdownNow();
	}

}
