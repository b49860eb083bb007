package org.wasabicart.mesh;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends requests through two nodes on the loopback interface, and checks the responses
 * and which requests the servers ran.
 */
@Timeout(30)
class MeshNodeTests {

	private static final int MANY_REQUESTS = 200;

	private TestFleet fleet;

	private TestCaller caller;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new TestFleet(List.of("a", "b"), 10);
		this.caller = new TestCaller(this.fleet.entryAddresses.get(0));
	}

	@AfterEach
	void stop() throws IOException {
		this.caller.close();
		this.fleet.close();
	}

	private List<String> executedRequests(int backend) throws Exception {
		return this.fleet.onBackends(() -> List.copyOf(this.fleet.backends.get(backend).requestIds));
	}

	private void setBehaviour(int backend, TestBackend.Behaviour behaviour) throws Exception {
		this.fleet.onBackends(() -> {
			this.fleet.backends.get(backend).setBehaviour(behaviour);
			return null;
		});
	}

	@Test
	void requestIsAnsweredByTheServerOfItsRoute() throws Exception {
		this.caller.send("GET", "/b/x", "1");
		TestCaller.Response response = this.caller.receive();
		assertThat(response.status()).isEqualTo(200);
		assertThat(response.headers()).contains("id: 1", "signature: i-1");
		assertThat(response.bodyBytes()).isEqualTo(10);
		assertThat(executedRequests(0)).isEmpty();
		assertThat(executedRequests(1)).containsExactly("1");
	}

	@Test
	void pipelinedRequestsAreAnsweredInOrder() throws Exception {
		this.caller.send("GET", "/b/x", "1");
		this.caller.send("GET", "/none/x", "2");
		this.caller.send("GET", "/a/x", "3");
		assertThat(this.caller.receive().headers()).contains("id: 1");
		assertThat(this.caller.receive().status()).isEqualTo(404);
		assertThat(this.caller.receive().headers()).contains("id: 3");
	}

	/**
	 * Guards against responses that are missing or out of order when a caller sends more
	 * requests than a connection runs at once, and more than it reads ahead.
	 */
	@Test
	void manyPipelinedRequestsAreAnsweredInOrder() throws Exception {
		this.fleet.onBackends(() -> {
			this.fleet.backends.get(1).respondAfter(2);
			return null;
		});
		for (int i = 0; i < MANY_REQUESTS; i++) {
			this.caller.send("GET", (i % 3 == 0) ? "/none/x" : "/b/x", "r" + i);
		}
		for (int i = 0; i < MANY_REQUESTS; i++) {
			TestCaller.Response response = this.caller.receive();
			assertThat(response.status()).isEqualTo((i % 3 == 0) ? 404 : 200);
			if (response.status() == 200) {
				assertThat(response.headers()).contains("id: r" + i);
			}
		}
	}

	/**
	 * Guards against requests that are sent to a server although their caller has left
	 * while they were waiting behind others.
	 */
	@Test
	void requestsThatWaitBehindOthersAreDroppedWhenTheCallerLeaves() throws Exception {
		setBehaviour(1, TestBackend.Behaviour.SILENT);
		for (int i = 0; i < 20; i++) {
			this.caller.send("GET", "/b/x", "r" + i);
		}
		TimeUnit.MILLISECONDS.sleep(200);
		List<String> executed = executedRequests(1);
		assertThat(executed).hasSizeBetween(1, 4);
		this.caller.close();
		TimeUnit.MILLISECONDS.sleep(1500);
		assertThat(executedRequests(1)).isEqualTo(executed);
	}

	@Test
	void nonIdempotentRequestThatMayHaveRunFailsAndIsNotRepeated() throws Exception {
		setBehaviour(1, TestBackend.Behaviour.CLOSE);
		this.caller.send("POST", "/b/write/x", "1");
		assertThat(this.caller.receive().status()).isEqualTo(502);
		assertThat(executedRequests(1)).containsExactly("1");
	}

	@Test
	void requestShedByTheServerIsRefusedWithARetryDelay() throws Exception {
		setBehaviour(1, TestBackend.Behaviour.SHED);
		this.caller.send("POST", "/b/write/x", "1");
		TestCaller.Response response = this.caller.receive();
		assertThat(response.status()).isEqualTo(503);
		assertThat(response.headers()).anyMatch((header) -> header.startsWith("retry-after: 0."));
	}

	@Test
	void requestToASilentServerEndsAtTheRouteTimeout() throws Exception {
		setBehaviour(1, TestBackend.Behaviour.SILENT);
		long start = System.nanoTime();
		this.caller.send("GET", "/b/x", "1");
		assertThat(this.caller.receive().status()).isEqualTo(504);
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isBetween(700L, 1300L);
	}

	@Test
	void requestToAnUnreachableServerIsRefusedWithoutDelay() throws Exception {
		this.fleet.onBackends(() -> {
			this.fleet.backends.get(1).stop();
			return null;
		});
		// The first request of a virtual machine also loads the classes that handle it.
		this.caller.send("POST", "/b/write/x", "first");
		assertThat(this.caller.receive().status()).isEqualTo(503);
		// The server is tried again.
		TimeUnit.SECONDS.sleep(1);
		long start = System.nanoTime();
		this.caller.send("POST", "/b/write/x", "1");
		assertThat(this.caller.receive().status()).isEqualTo(503);
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(400);
	}

	@Test
	void drainingServerGetsNoCallAfterItsDrainTime() throws Exception {
		this.fleet.announce(1, 2, ServerState.LEAVING);
		TimeUnit.MILLISECONDS.sleep(500);
		this.caller.send("GET", "/b/x", "1");
		assertThat(this.caller.receive().status()).isEqualTo(503);
		assertThat(executedRequests(1)).isEmpty();
	}

	@Test
	void lateHeartbeatOfAnEarlierIncarnationIsIgnored() throws Exception {
		this.fleet.handleHeartbeat(1,
				new BackendAnnouncement("i-old", 0, 9, new ServiceName("b"), 20, ServerState.LEAVING));
		this.caller.send("GET", "/b/x", "1");
		assertThat(this.caller.receive().status()).isEqualTo(200);
	}

	/**
	 * Guards against a request that is forwarded after the node has stopped but before
	 * the process exits, which cuts it off.
	 */
	@Test
	void stoppedNodeForwardsNoRequest() throws Exception {
		try (TestFleet longGraceFleet = new TestFleet(List.of("a", "b"), 10, Duration.ofSeconds(30))) {
			longGraceFleet.nodes.get(0).close();
			this.caller.close();
			this.caller = new TestCaller(longGraceFleet.entryAddresses.get(0));
			this.caller.send("GET", "/b/x", "late");
			assertThat(this.caller.receive().status()).isEqualTo(503);
			assertThat(longGraceFleet.onBackends(() -> List.copyOf(longGraceFleet.backends.get(1).requestIds)))
				.isEmpty();
		}
	}

	/**
	 * Guards against orders that are sent to a node just before its process ends, and are
	 * lost with the link, because the store could not announce that it stops.
	 */
	@Test
	void noOrderIsLostWhenANodeStopsWhileTheStoreIsAway() throws Exception {
		this.fleet.store.unavailable = true;
		this.caller.send("POST", "/b/write/x", "first");
		assertThat(this.caller.receive().status()).isEqualTo(200);
		Thread stop = new Thread(() -> {
			this.fleet.nodes.get(1).close();
			this.fleet.kill(1);
		});
		stop.start();
		List<Integer> statuses = new ArrayList<>();
		for (int i = 0; stop.isAlive(); i++) {
			this.caller.send("POST", "/b/write/x", "order" + i);
			statuses.add(this.caller.receive().status());
			TimeUnit.MILLISECONDS.sleep(1);
		}
		assertThat(statuses).contains(503).isSubsetOf(200, 503);
	}

	/**
	 * Guards against requests that arrive while the event loop of a stopping node is
	 * busy, and are cut off because the process ends before it reads them.
	 */
	@Test
	void requestThatArrivesWhileAStoppingNodeIsBusyIsAnsweredBeforeItStops() throws Exception {
		try (TestFleet longGraceFleet = new TestFleet(List.of("a", "b"), 10, Duration.ofSeconds(30))) {
			this.caller.close();
			this.caller = new TestCaller(longGraceFleet.entryAddresses.get(0));
			this.caller.send("GET", "/b/x", "first");
			this.caller.receive();
			Thread stop = new Thread(longGraceFleet.nodes.get(0)::close);
			stop.start();
			TimeUnit.MILLISECONDS.sleep(2450);
			longGraceFleet.block(0, 400);
			TimeUnit.MILLISECONDS.sleep(100);
			this.caller.send("GET", "/b/x", "late");
			TimeUnit.MILLISECONDS.sleep(50);
			longGraceFleet.block(0, 300);
			stop.join();
			assertThat(this.caller.hasData()).isTrue();
		}
	}

	/**
	 * Guards against a node that does not stop because callers keep sending requests, and
	 * that is killed with requests in progress at the end of its grace period.
	 */
	@Test
	void stoppingNodeRefusesLateRequestsAndStopsWithinItsGracePeriod() throws Exception {
		long start = System.nanoTime();
		Thread stop = new Thread(this.fleet.nodes.get(0)::close);
		stop.start();
		List<Integer> statuses = new ArrayList<>();
		while (stop.isAlive()) {
			this.caller.close();
			this.caller = new TestCaller(this.fleet.entryAddresses.get(0));
			this.caller.send("GET", "/b/x", "s" + statuses.size());
			statuses.add(this.caller.receive().status());
		}
		assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(TestFleet.GRACE);
		assertThat(statuses.get(0)).isEqualTo(200);
		assertThat(statuses.get(statuses.size() - 1)).isEqualTo(503);
	}

}
