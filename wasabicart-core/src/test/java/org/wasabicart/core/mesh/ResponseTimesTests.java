package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a node that accepts requests which it cannot answer before it stops, or
 * refuses those that it can.
 */
class ResponseTimesTests {

	private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);

	private static final long LIMIT = TimeUnit.SECONDS.toNanos(4);

	private final ResponseTimes times = new ResponseTimes(WINDOW);

	private static long seconds(double value) {
		return (long) (value * 1e9);
	}

	@Test
	void unknownRouteMayTakeUntilItsLimit() {
		assertThat(this.times.expected("a", LIMIT, 0)).isEqualTo(LIMIT);
	}

	@Test
	void longestRecentResponseCountsWithAMargin() {
		this.times.record("a", seconds(1), 0);
		this.times.record("a", seconds(0.1), 1);
		this.times.record("b", seconds(0.1), 1);
		assertThat(this.times.expected("a", LIMIT, 2)).isEqualTo(seconds(1.5));
		assertThat(this.times.expected("b", LIMIT, 2)).isEqualTo(seconds(0.15));
	}

	@Test
	void limitIsNotExceeded() {
		this.times.record("a", seconds(3.5), 0);
		assertThat(this.times.expected("a", LIMIT, 1)).isEqualTo(LIMIT);
	}

	@Test
	void responseCountsForOneWindowAndAtMostForTwo() {
		this.times.record("a", seconds(1), 0);
		this.times.record("a", seconds(0.2), WINDOW + 1);
		assertThat(this.times.expected("a", LIMIT, 2 * WINDOW)).isEqualTo(seconds(1.5));
		assertThat(this.times.expected("a", LIMIT, 2 * WINDOW + 2)).isEqualTo(seconds(0.3));
		assertThat(this.times.expected("a", LIMIT, 9 * WINDOW)).isEqualTo(LIMIT);
	}

	@Test
	void routesWithoutRecentResponsesAreForgotten() {
		for (int i = 0; i < 100; i++) {
			this.times.record("r" + i, seconds(1), i * WINDOW);
		}
		assertThat(this.times.routeCount()).isLessThanOrEqualTo(3);
	}

}
