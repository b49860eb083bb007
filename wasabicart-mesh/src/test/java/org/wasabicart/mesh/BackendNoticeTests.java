package org.wasabicart.mesh;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.model.ServiceName;

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

	private static final int CALLERS = 20;

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
	 * Sends requests to the server of node 1 from several callers of the other nodes.
	 */
	private void sendRequests(String prefix, long milliseconds) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			InetSocketAddress entry = this.fleet.entryAddresses.get((i % 2 == 0) ? 0 : 2);
			String callerPrefix = prefix + "-" + i + "-";
			Thread caller = new Thread(() -> sendUntil(entry, callerPrefix, end));
			caller.start();
			callers.add(caller);
		}
		for (Thread caller : callers) {
			caller.join();
		}
	}

	private static void sendUntil(InetSocketAddress entry, String prefix, long end) {
		try (TestCaller caller = new TestCaller(entry)) {
			for (int i = 0; System.nanoTime() - end < 0; i++) {
				caller.send("GET", "/b/x", prefix + i);
				caller.receive();
				TimeUnit.MILLISECONDS.sleep(30);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void onServer(Consumer<TestBackend> change) throws Exception {
		this.fleet.onBackends(() -> {
			change.accept(this.fleet.backends.get(1));
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
		onServer((server) -> server.nameLimit("10.0"));
		long from = System.nanoTime() + REACTION_TIME;
		sendRequests("r", 5500);
		assertThat(requestsInAnyWindow(from)).isBetween(20, 65);
	}

	@Test
	void limitHoldsAfterARestartOfTheNodeBesideTheServer() throws Exception {
		onServer((server) -> {
			server.nameLimit("1.0");
			server.respondAfter(300);
		});
		sendRequests("before", 1500);
		long from = System.nanoTime();
		this.fleet.kill(1);
		this.fleet.start(1);
		sendRequests("after", 4500);
		assertThat(requestsInAnyWindow(from)).isBetween(2, 11);
	}

	@Test
	void requestsReturnToTheServerWhenItsLimitEnds() throws Exception {
		onServer((server) -> server.nameLimit("0"));
		sendRequests("limited", 1000);
		onServer((server) -> server.nameLimit(null));
		sendRequests("probe", 2500);
		long from = System.nanoTime();
		sendRequests("unlimited", 500);
		assertThat(requestsInAnyWindow(from)).isGreaterThan(50);
	}

	private void assertNoRequests(String prefix) throws Exception {
		List<String> requests = this.fleet.onBackends(() -> List.copyOf(this.fleet.backends.get(1).requestIds));
		assertThat(requests).isNotEmpty().noneMatch((id) -> id.startsWith(prefix));
	}

	@Test
	void serverThatHasLeftStaysUnusedAfterARestartOfTheNodeBesideIt() throws Exception {
		onServer(TestBackend::leave);
		sendRequests("first", 100);
		onServer(TestBackend::stay);
		this.fleet.kill(1);
		this.fleet.start(1);
		TimeUnit.MILLISECONDS.sleep(600);
		sendRequests("late", 300);
		assertNoRequests("late");
	}

	@Test
	void serverThatHasLeftStaysUnusedAfterARestartOfAllNodes() throws Exception {
		onServer(TestBackend::leave);
		sendRequests("first", 100);
		onServer(TestBackend::stay);
		for (int i = 0; i < 3; i++) {
			this.fleet.kill(i);
		}
		for (int i = 0; i < 3; i++) {
			this.fleet.start(i);
		}
		TimeUnit.MILLISECONDS.sleep(600);
		sendRequests("late", 300);
		assertNoRequests("late");
	}

	@Test
	void serverThatDeregistersWhileItsNodeRestartsStaysUnused() throws Exception {
		sendRequests("first", 100);
		this.fleet.kill(1);
		this.fleet.startWithoutHeartbeat(1);
		this.fleet.deregister(1);
		this.fleet.announce(1, 7, ServerState.READY);
		TimeUnit.MILLISECONDS.sleep(600);
		sendRequests("late", 300);
		assertNoRequests("late");
	}

	@Test
	void newIncarnationUnderTheIdOfAServerThatHasLeftIsUsed() throws Exception {
		onServer(TestBackend::leave);
		sendRequests("first", 100);
		onServer(TestBackend::stay);
		this.fleet.handleHeartbeat(1,
				new BackendAnnouncement("i-1", 2, 1, new ServiceName("b"), 20, ServerState.READY));
		TimeUnit.MILLISECONDS.sleep(800);
		sendRequests("new", 100);
		List<String> requests = this.fleet.onBackends(() -> List.copyOf(this.fleet.backends.get(1).requestIds));
		assertThat(requests).anyMatch((id) -> id.startsWith("new"));
	}

	@Test
	void leavingServerGetsNoRequestAfterTheDrainTime() throws Exception {
		onServer(TestBackend::leave);
		sendRequests("first", 50);
		TimeUnit.MILLISECONDS.sleep(600);
		sendRequests("late", 200);
		assertNoRequests("late");
	}

}
