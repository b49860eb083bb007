package org.wasabicart.mesh;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.wire.generated.mesh.MeshMemberEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against nodes that stop following the members after another writer has left an
 * entry among theirs.
 */
@Timeout(30)
class ForeignEntryTests {

	private TestFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new TestFleet(List.of("a", "b", "b"), 10);
		TimeUnit.MILLISECONDS.sleep(700);
	}

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	private static byte[] nested() {
		return "[".repeat(100_000).getBytes(StandardCharsets.UTF_8);
	}

	private MeshMemberEntry entry(String node) throws Exception {
		return MeshMemberEntry.parseFrom(this.fleet.store.items.get("members/" + node).value());
	}

	private int status() throws Exception {
		try (TestCaller caller = new TestCaller(this.fleet.entryAddresses.get(0))) {
			caller.send("GET", "/b/x", "request");
			return caller.receive().status();
		}
	}

	private void assertChangesAreFollowed() throws Exception {
		assertThat(status()).isEqualTo(200);
		this.fleet.announce(1, 2, ServerState.LEAVING);
		this.fleet.announce(2, 2, ServerState.LEAVING);
		TimeUnit.MILLISECONDS.sleep(1200);
		assertThat(status()).isEqualTo(503);
		this.fleet.handleHeartbeat(1,
				new BackendAnnouncement("i-1", 2, 1, new ServiceName("b"), 20, ServerState.READY));
		TimeUnit.MILLISECONDS.sleep(1200);
		assertThat(status()).isEqualTo(200);
	}

	@Test
	void changesAreFollowedAfterAnUnreadableEntryHasAppeared() throws Exception {
		this.fleet.store.put("members/other", nested());
		this.fleet.store.put("members/", new byte[0]);
		this.fleet.store.put("members/port",
				entry("n1").toBuilder().setNode("port").setPort(99_999).build().toByteArray());
		TimeUnit.MILLISECONDS.sleep(700);
		assertChangesAreFollowed();
	}

	@Test
	void entryThatNamesAnotherNodeDoesNotReplaceThatNode() throws Exception {
		this.fleet.store.put("members/other",
				entry("n1").toBuilder().setPort(1).setInstance("other").build().toByteArray());
		this.fleet.store.put("members/other2",
				entry("n2").toBuilder().setPort(1).setInstance("other").build().toByteArray());
		TimeUnit.MILLISECONDS.sleep(700);
		assertChangesAreFollowed();
	}

	@Test
	void nodeWhoseEntryWasOverwrittenIsStillUsedAndWritesItAgain() throws Exception {
		this.fleet.store.put("members/n1", nested());
		this.fleet.store.put("members/n2", nested());
		assertThat(status()).isEqualTo(200);
		TimeUnit.MILLISECONDS.sleep(3000);
		assertThat(entry("n1").getInstance()).isEqualTo("i-1");
		assertThat(status()).isEqualTo(200);
		assertChangesAreFollowed();
	}

	@Test
	void nodeStartsBesideAnUnreadableEntry() throws Exception {
		this.fleet.kill(0);
		this.fleet.store.put("members/other", nested());
		this.fleet.start(0);
		TimeUnit.MILLISECONDS.sleep(700);
		assertChangesAreFollowed();
	}

}
