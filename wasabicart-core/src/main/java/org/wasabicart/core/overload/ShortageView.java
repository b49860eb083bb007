package org.wasabicart.core.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.wasabicart.core.model.ServiceName;

/**
 * What one node knows about the shortages of all services. Reports of the servers of a
 * service are averaged. A report that is older than the view is ignored, so information
 * flows from the gates only, even if nodes pass on what they got from each other.
 */
final class ShortageView {

	/** Age from which a report is no longer used. */
	static final long MAXIMUM_AGE = TimeUnit.SECONDS.toNanos(2);

	/** Time in which the weight of earlier reports falls by a factor of e. */
	private static final double AVERAGING_TIME = TimeUnit.MILLISECONDS.toNanos(150);

	/** Admissible share above which a service does not count as short. */
	private static final double NOT_SHORT = 0.995;

	/**
	 * Time for which a service is reported after its shortage, so that others learn of
	 * its end.
	 */
	private static final long END_REPORT_TIME = TimeUnit.SECONDS.toNanos(3);

	/** Services that are reported together. */
	private static final int MAXIMUM_REPORTS = 8;

	private final Map<ServiceName, State> states = new HashMap<>();

	void record(Shortage report) {
		State state = this.states.get(report.service());
		if (state == null) {
			this.states.put(report.service(), new State(report));
			return;
		}
		long newer = report.observed() - state.latest.observed();
		if (newer > 0) {
			double weight = 1 - Math.exp(-newer / AVERAGING_TIME);
			double share = state.latest.admissibleShare()
					+ weight * (report.admissibleShare() - state.latest.admissibleShare());
			state.latest = new Shortage(report.service(), share, report.node(), report.observed(), false);
			state.recordShort();
		}
	}

	/**
	 * Returns the shortage of a service, also one that is too old to be used.
	 * @param service service
	 * @return the shortage, or empty if the service was not short in recent reports
	 */
	Optional<Shortage> shortage(ServiceName service) {
		return Optional.ofNullable(this.states.get(service)).map((state) -> state.latest);
	}

	/**
	 * Returns the shortages to be reported to other nodes.
	 * @param now current time in nanoseconds
	 * @return the shortages, those of most effect first
	 */
	List<Shortage> reports(long now) {
		this.states.values().removeIf((state) -> now - state.latest.observed() > 2 * MAXIMUM_AGE);
		List<Shortage> reports = new ArrayList<>();
		for (State state : this.states.values()) {
			if (state.everShort && now - state.lastShort < END_REPORT_TIME
					&& now - state.latest.observed() < MAXIMUM_AGE) {
				reports.add(state.latest);
			}
		}
		reports.sort((left, right) -> Double.compare(left.admissibleShare(), right.admissibleShare()));
		return (reports.size() > MAXIMUM_REPORTS) ? reports.subList(0, MAXIMUM_REPORTS) : reports;
	}

	private static final class State {

		private Shortage latest;

		private long lastShort;

		private boolean everShort;

		State(Shortage report) {
			this.latest = report.withNeeded(false);
			recordShort();
		}

		private void recordShort() {
			if (this.latest.admissibleShare() < NOT_SHORT) {
				this.lastShort = this.latest.observed();
				this.everShort = true;
			}
		}

	}

}
