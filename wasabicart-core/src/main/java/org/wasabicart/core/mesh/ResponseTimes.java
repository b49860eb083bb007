package org.wasabicart.core.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Longest recent response time of each route, which tells whether a request can be
 * expected to end before a node stops.
 */
public final class ResponseTimes {

	/** Factor by which a response may take longer than the recent ones. */
	private static final double MARGIN_FACTOR = 1.5;

	private final long window;

	private final Map<String, Maximum> maximums = new HashMap<>();

	/**
	 * Creates an empty record.
	 * @param window time in nanoseconds for which a response time counts at least; it
	 * counts for at most twice this time
	 */
	public ResponseTimes(long window) {
		this.window = window;
	}

	/**
	 * Records the response time of a request.
	 * @param route name of the route
	 * @param duration response time in nanoseconds
	 * @param now current time in nanoseconds
	 */
	public void record(String route, long duration, long now) {
		Maximum maximum = this.maximums.get(route);
		if (maximum == null) {
			// Routes that are no longer configured.
			this.maximums.values().removeIf((other) -> other.get(now) == 0);
			maximum = new Maximum(now);
			this.maximums.put(route, maximum);
		}
		maximum.record(duration, now);
	}

	/**
	 * Returns the time within which a request of a route should end.
	 * @param route name of the route
	 * @param limit time in nanoseconds after which the request ends in any case
	 * @param now current time in nanoseconds
	 * @return the time in nanoseconds, which is the limit if no response time is known
	 */
	public long expected(String route, long limit, long now) {
		Maximum maximum = this.maximums.get(route);
		long longest = (maximum != null) ? maximum.get(now) : 0;
		return (longest > 0) ? Math.min(limit, (long) (longest * MARGIN_FACTOR)) : limit;
	}

	int routeCount() {
		return this.maximums.size();
	}

	/**
	 * Maximum over the current window and the one before it.
	 */
	private final class Maximum {

		private long windowStart;

		private long current;

		private long previous;

		Maximum(long now) {
			this.windowStart = now;
		}

		private void record(long duration, long now) {
			advance(now);
			this.current = Math.max(this.current, duration);
		}

		private long get(long now) {
			advance(now);
			return Math.max(this.current, this.previous);
		}

		private void advance(long now) {
			long elapsed = now - this.windowStart;
			if (elapsed < ResponseTimes.this.window) {
				return;
			}
			this.previous = (elapsed < 2 * ResponseTimes.this.window) ? this.current : 0;
			this.current = 0;
			this.windowStart = now;
		}

	}

}
