package org.wasabicart.mesh;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends requests to servers that state a rate limit or that they leave, and checks which
 * of them arrive there.
 */
@Timeout(60)
class BackendNoticeTests {

	/** Time in which a server counts its requests. */
	private static final long WINDOW = TimeUnit.SECONDS.toNanos(4);

	/** Time after a notice from which it must be followed. */
	private static final long REACTION_TIME = TimeUnit.MILLISECONDS.toNanos(500);

	private TestFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new TestFleet(List.of("a", "b", "a"), 10);
	}

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	/**
	 * Sends requests to the server of node 1 from the other nodes in turn.
	 */
	private void sendRequests(String prefix, long milliseconds) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
		try (TestCaller first = new TestCaller(this.fleet.entryAddresses.get(0));
				TestCaller second = new TestCaller(this.fleet.entryAddresses.get(2))) {
			for (int i = 0; System.nanoTime() < end; i++) {
				TestCaller caller = (i % 2 == 0) ? first : second;
				caller.send("GET", "/b/x", prefix + i);
				caller.receive();
				TimeUnit.MILLISECONDS.sleep(4);
			}
		}
	}

	private void nameLimit(String limit) throws Exception {
		this.fleet.onBackends(() -> {
			this.fleet.backends.get(1).nameLimit(limit);
			return null;
		});
	}

	private int requestsInAnyWindow(long from) throws Exception {
		List<Long> arrivals = this.fleet.onBackends(() -> List.copyOf(this.fleet.backends.get(1).arrivals));
		int most = 0;
		for (long start : arrivals) {
			int count = (int) arrivals.stream()
				.filter((arrival) -> start - from >= 0 && arrival - start >= 0 && arrival - start < WINDOW)
				.count();
			most = Math.max(most, count);
		}
		return most;
	}

	@Test
	void serverThatNamesALimitGetsNoMoreRequestsThanItAllows() throws Exception {
		nameLimit("10.0");
		long from = System.nanoTime() + REACTION_TIME;
		sendRequests("r", 5500);
		assertThat(requestsInAnyWindow(from)).isBetween(20, 65);
	}

	@Test
	void leavingServerGetsNoRequestAfterTheDrainTime() throws Exception {
		this.fleet.onBackends(() -> {
			this.fleet.backends.get(1).leave();
			return null;
		});
		sendRequests("first", 50);
		TimeUnit.MILLISECONDS.sleep(600);
		sendRequests("late", 200);
		List<String> requests = this.fleet.onBackends(() -> List.copyOf(this.fleet.backends.get(1).requestIds));
		assertThat(requests).isNotEmpty().noneMatch((id) -> id.startsWith("late"));
	}

}
