package org.wasabicart.experiment.figures;

import java.util.List;

import org.wasabicart.standin.caller.CallerOutcome;
import org.wasabicart.standin.caller.CallerRecord;

/**
 * Compares the results of orders that the callers received with the histories of the
 * backend servers.
 *
 * @param sent orders that callers sent
 * @param doubled orders that ran more than once at some service
 * @param lost orders that were answered as completed although the entry service has no
 * completed run, or as not run although they ran
 * @param falseNotRun those of the lost orders that were answered as not run
 * @param unknown orders whose callers did not learn the result
 */
public record OrderFigures(long sent, long doubled, long lost, long falseNotRun, long unknown) {

	/**
	 * Computes the figures.
	 * @param records records of all callers
	 * @param history history of all backend servers
	 * @return the figures
	 */
	public static OrderFigures of(List<CallerRecord> records, List<HistoryRun> history) {
		RunFigures runs = new RunFigures(history);
		List<CallerRecord> orders = records.stream().filter((record) -> record.arrival().kind().order()).toList();
		long doubled = 0;
		long completedWithoutRun = 0;
		long falseNotRun = 0;
		long unknown = 0;
		for (CallerRecord order : orders) {
			String root = order.arrival().requestId();
			int entryRuns = runs.runs(root, order.arrival().path());
			boolean completed = order.outcome() == CallerOutcome.COMPLETED;
			doubled += runs.ranTwice(root) ? 1 : 0;
			completedWithoutRun += (completed && !runs.completed(root, order.arrival().path())) ? 1 : 0;
			falseNotRun += (order.outcome() == CallerOutcome.REFUSED && entryRuns > 0) ? 1 : 0;
			unknown += (order.outcome() == CallerOutcome.UNKNOWN || order.outcome() == CallerOutcome.TIMED_OUT) ? 1 : 0;
		}
		return new OrderFigures(orders.size(), doubled, completedWithoutRun + falseNotRun, falseNotRun, unknown);
	}

}
