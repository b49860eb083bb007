package org.wasabicart.mesh;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an entry that stays missing or outdated after a failure of the store.
 */
class MemberEntryPublisherTests {

	private static final long STEP_MILLISECONDS = 10;

	private final FakeMeshStore store = new FakeMeshStore();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final MemberEntryPublisher publisher = new MemberEntryPublisher(
			new EraCheckedStore(this.store, (era, restored) -> {
			}), this.channel.eventLoop(), "node");

	// Advances in small steps, since a task that is due may schedule the next one.
	private void advanceTime(long milliseconds) {
		for (long passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
			this.channel.advanceTimeBy(STEP_MILLISECONDS, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

	private byte[] stored() {
		MeshStore.StoredItem item = this.store.items.get("node");
		return (item != null) ? item.value() : null;
	}

	@Test
	void entryIsReadBeforeTheNextWriteAfterALostResponse() {
		this.store.loseNextWriteResponse = true;
		this.publisher.publish(new byte[] { 1 });
		this.publisher.publish(new byte[] { 2 });
		advanceTime(600);
		assertThat(stored()).containsExactly(2);
		assertThat(this.store.calls).containsExactly("lease", "write", "get", "write");
	}

	@Test
	void lapsedEntryIsRestoredWithinTwoSecondsAfterAStoreOutage() {
		this.publisher.start();
		this.publisher.publish(new byte[] { 1 });
		this.store.unavailable = true;
		advanceTime(2000);
		this.store.items.clear();
		this.store.failNextWriteForEndedLease = true;
		this.store.unavailable = false;
		this.publisher.entryMissing();
		advanceTime(2000);
		assertThat(stored()).containsExactly(1);
	}

	@Test
	void entryIsDeletedWhenTheServerHasLeft() {
		this.publisher.publish(new byte[] { 1 });
		this.publisher.publish(null);
		assertThat(stored()).isNull();
	}

	@Test
	void entryIsWrittenAgainAfterItsLeaseIdWasAssignedToAnotherNode() {
		this.publisher.start();
		FakeMeshStore.Copy copy = this.store.copy();
		this.publisher.publish(new byte[] { 1 });
		this.store.restore(copy);
		this.store.grantLease(Duration.ofSeconds(6));
		advanceTime(2500);
		assertThat(stored()).containsExactly(1);
	}

	@Test
	void unchangedEntryCausesNoStoreCall() {
		this.publisher.publish(new byte[] { 1 });
		int calls = this.store.calls.size();
		this.publisher.publish(new byte[] { 1 });
		assertThat(this.store.calls).hasSize(calls);
	}

}
