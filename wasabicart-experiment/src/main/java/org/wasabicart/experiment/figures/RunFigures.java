package org.wasabicart.experiment.figures;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Computes attempts, repeated runs and wasted work from the histories of the backend
 * servers.
 */
public final class RunFigures {

	private final List<HistoryRun> runs;

	private final Map<String, Integer> attemptsByRoot = new HashMap<>();

	private final Map<String, Integer> runsByCall = new HashMap<>();

	private final Set<String> completedCalls = new HashSet<>();

	private final Set<String> rootsThatRanTwice = new HashSet<>();

	/**
	 * Creates the figures.
	 * @param runs history
	 */
	public RunFigures(List<HistoryRun> runs) {
		this.runs = List.copyOf(runs);
		for (HistoryRun run : runs) {
			this.attemptsByRoot.merge(run.root(), 1, Integer::sum);
			if (run.ran()) {
				int count = this.runsByCall.merge(callKey(run), 1, Integer::sum);
				if (count > 1) {
					this.rootsThatRanTwice.add(run.root());
				}
			}
			if (run.completed()) {
				this.completedCalls.add(callKey(run));
			}
		}
	}

	private static String callKey(HistoryRun run) {
		return run.root() + " " + run.path();
	}

	/**
	 * Returns the number of attempts of one root request that reached backend servers.
	 * @param root root request id
	 * @return runs and refusals in the whole call tree
	 */
	public int attempts(String root) {
		return this.attemptsByRoot.getOrDefault(root, 0);
	}

	/**
	 * Returns the highest number of attempts of one root request.
	 * @return runs and refusals in the whole call tree
	 */
	public int maximumAttempts() {
		return this.attemptsByRoot.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	/**
	 * Returns how often one call of a root request reached backend servers on average.
	 * @return attempts, divided by the distinct calls that reached backend servers
	 */
	public double amplification() {
		Set<String> calls = new HashSet<>();
		this.runs.forEach((run) -> calls.add(callKey(run)));
		return calls.isEmpty() ? 0 : (double) this.runs.size() / calls.size();
	}

	/**
	 * Returns how often a call ran.
	 * @param root root request id
	 * @param path path at the backend server
	 * @return number of runs
	 */
	public int runs(String root, String path) {
		return this.runsByCall.getOrDefault(root + " " + path, 0);
	}

	/**
	 * Returns whether a call completed.
	 * @param root root request id
	 * @param path path at the backend server
	 * @return whether a run of it completed
	 */
	public boolean completed(String root, String path) {
		return this.completedCalls.contains(root + " " + path);
	}

	/**
	 * Returns whether some call of a root request ran more than once.
	 * @param root root request id
	 * @return whether a path has several runs
	 */
	public boolean ranTwice(String root) {
		return this.rootsThatRanTwice.contains(root);
	}

	/**
	 * Returns the share of the work that did not contribute to an answer in time. Of
	 * several runs of one call, only the first that completed counts as useful.
	 * @param from earliest start of the included runs, in microseconds since the epoch
	 * @param to latest start, exclusive
	 * @param rootsAnsweredInTime root requests that were answered before their deadline
	 * @return wasted work, divided by all work
	 */
	public double wastedWorkShare(long from, long to, Set<String> rootsAnsweredInTime) {
		Set<String> usefulCalls = new HashSet<>();
		long wasted = 0;
		long all = 0;
		for (HistoryRun run : this.runs) {
			if (run.startMicroseconds() < from || run.startMicroseconds() >= to) {
				continue;
			}
			all += run.workMicroseconds();
			boolean useful = run.completed() && rootsAnsweredInTime.contains(run.root())
					&& usefulCalls.add(callKey(run));
			if (!useful) {
				wasted += run.workMicroseconds();
			}
		}
		return (all > 0) ? (double) wasted / all : 0;
	}

	/**
	 * Returns the total service time of the completed runs of each root request.
	 * @return microseconds by root request id
	 */
	public Map<String, Long> serviceMicroseconds() {
		Map<String, Long> sums = new HashMap<>();
		for (HistoryRun run : this.runs) {
			if (run.completed()) {
				sums.merge(run.root(), run.serviceMicroseconds(), Long::sum);
			}
		}
		return sums;
	}

}
