package org.wasabicart.experiment.figures;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;

import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.standin.caller.CallerOutcome;
import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadResult;

/**
 * Computes goodput, recovery and latency from the records of the callers.
 */
public final class CallerFigures {

	private static final double MICROSECONDS_PER_SECOND = 1e6;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private static final long HIGHEST_LATENCY_MICROSECONDS = 120_000_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	// Wide enough to contain several requests, so that a single refusal does not
	// postpone the recovery.
	private static final double RECOVERY_WINDOW_SECONDS = 0.5;

	private static final double RECOVERY_STEP_SECONDS = 0.1;

	private static final double RECOVERED_SHARE = 0.95;

	// Below this share the system was already overloaded before the trigger, and there is
	// no normal level to return to.
	private static final double MINIMUM_SHARE_BEFORE = 0.5;

	private static final double INVERSION_WINDOW_SECONDS = 1;

	private final DeploymentPlan plan;

	private final LoadResult result;

	/**
	 * Creates the figures.
	 * @param plan plan that the callers used
	 * @param result results of the callers' requests
	 */
	public CallerFigures(DeploymentPlan plan, LoadResult result) {
		this.plan = plan;
		this.result = result;
	}

	/**
	 * Returns the root requests that were answered before their deadline.
	 * @return root request ids
	 */
	public Set<String> rootsAnsweredInTime() {
		Set<String> roots = new HashSet<>();
		for (CallerRecord record : this.result.records()) {
			if (record.countsAsGoodput()) {
				roots.add(record.arrival().requestId());
			}
		}
		return roots;
	}

	/**
	 * Returns the rate of the requests that were answered in a window, each before its
	 * deadline.
	 * @param window window of the answers
	 * @return requests per second
	 */
	public double goodput(TimeWindow window) {
		return answered(window, (record) -> true).size() / window.seconds();
	}

	/**
	 * Returns the rate of the requests of one kind that were answered in a window, each
	 * before its deadline.
	 * @param window window of the answers
	 * @param kind name of the kind
	 * @return requests per second
	 */
	public double goodput(TimeWindow window, String kind) {
		return answered(window, (record) -> record.arrival().kind().name().equals(kind)).size() / window.seconds();
	}

	/**
	 * Returns the total credit of the requests that were answered in a window, each
	 * before its deadline.
	 * @param window window of the answers
	 * @return sum of the kinds' credits
	 */
	public double credit(TimeWindow window) {
		return answered(window, (record) -> true).stream()
			.mapToDouble((record) -> this.plan.kind(record.arrival().kind().name()).credit())
			.sum();
	}

	private List<CallerRecord> answered(TimeWindow window, Predicate<CallerRecord> filter) {
		return this.result.records()
			.stream()
			.filter((record) -> record.countsAsGoodput() && window.contains(endSeconds(record)) && filter.test(record))
			.toList();
	}

	private double endSeconds(CallerRecord record) {
		return (record.endMicroseconds() - this.result.startMicroseconds()) / MICROSECONDS_PER_SECOND;
	}

	private static double arrivalSeconds(CallerRecord record) {
		return record.arrival().offsetNanoseconds() / NANOSECONDS_PER_SECOND;
	}

	private int importance(CallerRecord record) {
		return this.plan.kind(record.arrival().kind().name()).importance();
	}

	/**
	 * Counts the requests that arrived in a window, and those of them that were answered
	 * before their deadline.
	 * @param window window of the arrivals
	 * @return counts by importance, the least important first
	 */
	public TreeMap<Integer, RequestCounts> byImportance(TimeWindow window) {
		TreeMap<Integer, RequestCounts> countsByImportance = new TreeMap<>();
		for (CallerRecord record : this.result.records()) {
			if (window.contains(arrivalSeconds(record))) {
				countsByImportance.merge(importance(record), new RequestCounts(1, record.countsAsGoodput() ? 1 : 0),
						RequestCounts::plus);
			}
		}
		return countsByImportance;
	}

	/**
	 * Counts the requests that were not answered in time although a less important one
	 * that arrived in the same second was. Each answered request accounts for at most one
	 * inversion.
	 * @param window window of the arrivals
	 * @return number of requests that could have been answered instead of a less
	 * important one
	 */
	public long priorityInversions(TimeWindow window) {
		long inversions = 0;
		for (double start = window.fromSeconds(); start < window.toSeconds(); start += INVERSION_WINDOW_SECONDS) {
			TimeWindow subwindow = new TimeWindow(start,
					Math.min(start + INVERSION_WINDOW_SECONDS, window.toSeconds()));
			inversions += inversions(byImportance(subwindow));
		}
		return inversions;
	}

	private static long inversions(TreeMap<Integer, RequestCounts> countsByImportance) {
		long inversions = 0;
		long answeredLessImportant = countsByImportance.values().stream().mapToLong(RequestCounts::good).sum();
		for (RequestCounts counts : countsByImportance.descendingMap().values()) {
			answeredLessImportant -= counts.good();
			inversions += Math.min(counts.arrived() - counts.good(), Math.max(0, answeredLessImportant - inversions));
		}
		return inversions;
	}

	/**
	 * Returns the time from the end of a trigger until recovery: in each later window of
	 * 0.5 s, the share of the arriving requests that are answered in time is at least
	 * 0.95 of the share before the trigger.
	 * @param before window before the trigger
	 * @param triggerEnd end of the trigger in seconds
	 * @param loadEnd end of the load in seconds
	 * @return the seconds, or empty if the load ended earlier or less than half of the
	 * requests before the trigger were answered in time
	 */
	public OptionalDouble recoverySeconds(TimeWindow before, double triggerEnd, double loadEnd) {
		double requiredShare = RECOVERED_SHARE * answeredShare(before);
		if (answeredShare(before) < MINIMUM_SHARE_BEFORE) {
			return OptionalDouble.empty();
		}
		double recoveredAt = triggerEnd;
		double start = triggerEnd;
		while (start + RECOVERY_WINDOW_SECONDS <= loadEnd) {
			if (answeredShare(new TimeWindow(start, start + RECOVERY_WINDOW_SECONDS)) < requiredShare) {
				recoveredAt = start + RECOVERY_STEP_SECONDS;
			}
			start += RECOVERY_STEP_SECONDS;
		}
		boolean beforeLoadEnd = recoveredAt + RECOVERY_WINDOW_SECONDS <= loadEnd;
		return beforeLoadEnd ? OptionalDouble.of(recoveredAt - triggerEnd) : OptionalDouble.empty();
	}

	private double answeredShare(TimeWindow window) {
		RequestCounts sum = byImportance(window).values().stream().reduce(new RequestCounts(0, 0), RequestCounts::plus);
		return sum.answeredShare();
	}

	/**
	 * Returns the latencies of the requests that were answered in time, less the service
	 * times of the backend servers.
	 * @param window window of the arrivals
	 * @param serviceMicroseconds service times by root request id
	 * @return histogram in microseconds
	 */
	public Histogram addedLatency(TimeWindow window, Map<String, Long> serviceMicroseconds) {
		Histogram histogram = new Histogram(HIGHEST_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);
		for (CallerRecord record : this.result.records()) {
			Long service = serviceMicroseconds.get(record.arrival().requestId());
			if (record.countsAsGoodput() && service != null && window.contains(arrivalSeconds(record))) {
				long added = record.latencyNanoseconds() / 1000 - service;
				histogram.recordValue(Math.max(0, Math.min(added, HIGHEST_LATENCY_MICROSECONDS)));
			}
		}
		return histogram;
	}

	/**
	 * Counts the requests by outcome, and those that did not complete also by the
	 * execution and reason of the last response.
	 * @return the counts
	 */
	public ObjectNode outcomes() {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		for (CallerOutcome outcome : CallerOutcome.values()) {
			long count = this.result.records().stream().filter((record) -> record.outcome() == outcome).count();
			if (count > 0) {
				json.put(outcome.code(), count);
			}
		}
		Map<String, Long> reasons = new TreeMap<>();
		this.result.records()
			.stream()
			.filter((record) -> record.outcome() != CallerOutcome.COMPLETED && !record.reason().isEmpty())
			.forEach((record) -> reasons.merge(record.execution() + " " + record.reason(), 1L, Long::sum));
		ObjectNode byReason = json.putObject("lastReasons");
		reasons.forEach(byReason::put);
		return json;
	}

	/**
	 * Counts of the requests of one importance.
	 *
	 * @param arrived requests that arrived
	 * @param good those of them that were answered before their deadline
	 */
	public record RequestCounts(long arrived, long good) {

		RequestCounts plus(RequestCounts other) {
			return new RequestCounts(this.arrived + other.arrived, this.good + other.good);
		}

		/**
		 * Returns the share that was answered in time.
		 * @return 0 to 1; 1 if none arrived
		 */
		public double answeredShare() {
			return (this.arrived > 0) ? (double) this.good / this.arrived : 1;
		}

	}

}
