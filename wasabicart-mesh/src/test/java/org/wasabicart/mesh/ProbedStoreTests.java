package org.wasabicart.mesh;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays outages of the store for the watches and the entry of one node, and counts the
 * calls that the store gets.
 */
class ProbedStoreTests {

	private static final long STEP_MILLISECONDS = 10;

	private final FakeMeshStore fake = new FakeMeshStore();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ProbedStore store = new ProbedStore(this.fake, this.channel.eventLoop(), new SplittableRandom(1));

	// Advances in small steps, since a task that is due may schedule the next one.
	private void advanceTime(long milliseconds) {
		for (long passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
			this.channel.advanceTimeBy(STEP_MILLISECONDS, TimeUnit.MILLISECONDS);
			this.channel.runPendingTasks();
		}
	}

	private PrefixWatch watch(String prefix) {
		return new PrefixWatch(this.store, this.channel.eventLoop(), prefix, Duration.ofMillis(150), (items) -> {
		}, (items) -> {
		});
	}

	private long calls(String name) {
		return this.fake.calls.stream().filter((call) -> call.startsWith(name)).count();
	}

	@Test
	void longOutageCostsFewCallsAndEndsSoonAfterTheStoreReturns() {
		MemberEntryPublisher publisher = new MemberEntryPublisher(this.store, this.channel.eventLoop(), "members/n");
		PrefixWatch members = watch("members/");
		PrefixWatch configuration = watch("configuration");
		publisher.start();
		members.start();
		configuration.start();
		publisher.publish(new byte[] { 1 });
		advanceTime(3000);
		this.fake.unavailable = true;
		this.fake.breakWatches();
		this.fake.items.clear();
		this.fake.failNextWriteForEndedLease = true;
		this.fake.calls.clear();
		advanceTime(9000);
		assertThat(this.fake.calls.stream().filter((call) -> !call.equals("probe")).count()).isLessThanOrEqualTo(3);
		assertThat(calls("probe")).isBetween(9000L / 600, 9000L / 200);
		assertThat(this.store.away()).isTrue();
		this.fake.unavailable = false;
		publisher.entryMissing();
		advanceTime(2000);
		assertThat(this.fake.items).containsKey("members/n");
		assertThat(members.reachable()).isTrue();
		assertThat(configuration.reachable()).isTrue();
		assertThat(this.store.away()).isFalse();
	}

	@Test
	void cutWatchIsRepeatedWithoutDelay() {
		PrefixWatch watch = watch("p");
		watch.start();
		advanceTime(200);
		this.fake.breakWatches();
		this.fake.put("p/x", new byte[1]);
		advanceTime(300);
		assertThat(watch.reachable()).isTrue();
		assertThat(calls("probe")).isEqualTo(1);
	}

	@Test
	void callThatIsCancelledWhileItIsHeldIsNotSent() {
		this.fake.unavailable = true;
		this.store.get("k");
		CompletableFuture<MeshStore.StoredItem> held = this.store.get("k");
		held.cancel(false);
		this.fake.unavailable = false;
		advanceTime(1000);
		assertThat(this.fake.calls).containsExactlyElementsOf(List.of("get", "probe"));
	}

	@Test
	void heldCallsAreSentInTheirOrder() {
		this.fake.unavailable = true;
		this.store.get("k");
		CompletableFuture<StoreLease> lease = this.store.grantLease(Duration.ofSeconds(6));
		CompletableFuture<MeshStore.StoredItems> list = this.store.list("p");
		this.fake.unavailable = false;
		advanceTime(1000);
		assertThat(lease).isCompleted();
		assertThat(list).isCompleted();
		assertThat(this.fake.calls).containsExactly("get", "probe", "lease", "list");
	}

}
