package org.wasabicart.mesh;

import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an entry that is missing or stale after a fault of the store.
 */
class MemberEntryKeeperTests {

	private final FakeMeshStore store = new FakeMeshStore();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final MemberEntryKeeper keeper = new MemberEntryKeeper(this.store, this.channel.eventLoop(), "node");

	private void passMilliseconds(long milliseconds) {
		this.channel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private byte[] stored() {
		MeshStore.StoredItem item = this.store.items.get("node");
		return (item != null) ? item.value() : null;
	}

	@Test
	void lostAnswerIsReadBackBeforeTheNextWrite() {
		this.store.loseNextWriteAnswer = true;
		this.keeper.publish(new byte[] { 1 });
		this.keeper.publish(new byte[] { 2 });
		passMilliseconds(600);
		assertThat(stored()).containsExactly(2);
		assertThat(this.store.calls).containsExactly("lease", "write", "get", "write");
	}

	@Test
	void lapsedEntryIsBackWithinTwoSecondsOfTheStoresReturn() {
		this.keeper.start();
		this.keeper.publish(new byte[] { 1 });
		this.store.down = true;
		passMilliseconds(2000);
		this.store.items.clear();
		this.store.leaseEnded = true;
		this.store.down = false;
		this.keeper.missing();
		passMilliseconds(2000);
		assertThat(stored()).containsExactly(1);
	}

	@Test
	void entryIsDeletedWhenTheServerHasLeft() {
		this.keeper.publish(new byte[] { 1 });
		this.keeper.publish(null);
		assertThat(stored()).isNull();
	}

	@Test
	void unchangedEntryCostsNoCall() {
		this.keeper.publish(new byte[] { 1 });
		int calls = this.store.calls.size();
		this.keeper.publish(new byte[] { 1 });
		assertThat(this.store.calls).hasSize(calls);
	}

}
