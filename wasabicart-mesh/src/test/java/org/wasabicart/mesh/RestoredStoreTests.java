package org.wasabicart.mesh;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.ServerState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs nodes on the loopback interface while their store returns from an older copy.
 */
@Timeout(30)
class RestoredStoreTests {

	private TestFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new TestFleet(List.of("a", "b", "a"), 10);
		// Time for the nodes to write their entries.
		TimeUnit.MILLISECONDS.sleep(700);
	}

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	private int status(int node, String path) throws IOException {
		try (TestCaller caller = new TestCaller(this.fleet.entryAddresses.get(node))) {
			caller.send("GET", path, "request");
			return caller.receive().status();
		}
	}

	private int statusWithin(int milliseconds, int node, String path) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
		int status = status(node, path);
		while (status != 200 && System.nanoTime() - end < 0) {
			TimeUnit.MILLISECONDS.sleep(20);
			status = status(node, path);
		}
		return status;
	}

	@Test
	void changeRightAfterTheReturnIsInForceOnAllNodes() throws Exception {
		FakeMeshStore.Copy copy = this.fleet.store.copy();
		this.fleet.publishConfiguration(2);
		assertThat(statusWithin(1000, 0, "/added-2/x")).isEqualTo(200);
		TimeUnit.MILLISECONDS.sleep(300);
		this.fleet.store.restore(copy);
		this.fleet.publishConfiguration(3);
		for (int i = 0; i < 3; i++) {
			assertThat(statusWithin(2000, i, "/added-3/x")).as("node %d", i).isEqualTo(200);
		}
	}

	@Test
	void nodeThatStartsWithAnOlderCopyUsesTheConfigurationOfItsPeers() throws Exception {
		FakeMeshStore.Copy copy = this.fleet.store.copy();
		this.fleet.publishConfiguration(2);
		assertThat(statusWithin(1000, 1, "/added-2/x")).isEqualTo(200);
		TimeUnit.MILLISECONDS.sleep(300);
		this.fleet.kill(0);
		this.fleet.store.restore(copy);
		this.fleet.start(0);
		assertThat(statusWithin(2000, 0, "/added-2/x")).isEqualTo(200);
	}

	@Test
	void nodeThatTheStoreRejectsUsesTheConfigurationOfItsPeers() throws Exception {
		this.fleet.rejectStoreCalls(0, true);
		this.fleet.publishConfiguration(2);
		assertThat(statusWithin(1000, 0, "/added-2/x")).isEqualTo(200);
	}

	@Test
	void delayedWriteThatReplacesTheEntryOfANodeIsOverwritten() throws Exception {
		MeshMember current = MemberEntries.toMember("n1", this.fleet.store.items.get("members/n1").value());
		MeshMember outdated = new MeshMember(current.node(), current.address(), current.failureDomain(),
				current.region(), current.service(), current.incarnation(), current.slots() + 1, ServerState.READY);
		this.fleet.store.put("members/n1", MemberEntries.toEntry(outdated).toByteArray());
		TimeUnit.MILLISECONDS.sleep(1500);
		assertThat(MemberEntries.toMember("n1", this.fleet.store.items.get("members/n1").value())).isEqualTo(current);
	}

	@Test
	void serverThatHasLeftStaysUnusedWhenItsNodeRestartsWithAnOlderCopy() throws Exception {
		FakeMeshStore.Copy copy = this.fleet.store.copy();
		this.fleet.onBackends(() -> {
			this.fleet.backends.get(1).leave();
			return null;
		});
		assertThat(status(0, "/b/x")).isEqualTo(200);
		this.fleet.onBackends(() -> {
			this.fleet.backends.get(1).stay();
			return null;
		});
		this.fleet.kill(1);
		this.fleet.kill(2);
		this.fleet.store.restore(copy);
		this.fleet.start(1);
		this.fleet.start(2);
		TimeUnit.MILLISECONDS.sleep(1500);
		assertThat(status(2, "/b/x")).isEqualTo(503);
	}

}
