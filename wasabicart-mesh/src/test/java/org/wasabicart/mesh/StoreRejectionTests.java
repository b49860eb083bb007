package org.wasabicart.mesh;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs nodes on the loopback interface, one of which the store rejects while it serves
 * the others.
 */
@Timeout(30)
class StoreRejectionTests {

	/** Beyond the time after which a node without an entry is removed. */
	private static final long REMOVAL_MILLISECONDS = 4500;

	private TestFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new TestFleet(List.of("a", "b"), 10);
		// Time for the nodes to write their entries.
		TimeUnit.MILLISECONDS.sleep(700);
	}

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	private int status() throws Exception {
		try (TestCaller caller = new TestCaller(this.fleet.entryAddresses.get(0))) {
			caller.send("GET", "/b/x", "request");
			return caller.receive().status();
		}
	}

	private void rejectAndRemoveEntry() {
		this.fleet.rejectStoreCalls(1, true);
		this.fleet.store.put("members/n1", null);
	}

	@Test
	void serverIsUsedWhileItsNodeRunsWithoutTheStore() throws Exception {
		rejectAndRemoveEntry();
		TimeUnit.MILLISECONDS.sleep(REMOVAL_MILLISECONDS);
		assertThat(status()).isEqualTo(200);
		this.fleet.rejectStoreCalls(1, false);
		TimeUnit.MILLISECONDS.sleep(2000);
		assertThat(this.fleet.store.items).containsKey("members/n1");
		assertThat(status()).isEqualTo(200);
	}

	@Test
	void nodeThatEndsWhileTheStoreRejectsItIsRemoved() throws Exception {
		rejectAndRemoveEntry();
		TimeUnit.MILLISECONDS.sleep(REMOVAL_MILLISECONDS);
		this.fleet.kill(1);
		TimeUnit.MILLISECONDS.sleep(REMOVAL_MILLISECONDS);
		assertThat(this.fleet.knownServices(0)).isZero();
		this.fleet.startWithoutHeartbeat(1);
	}

}
