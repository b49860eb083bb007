package org.wasabicart.mesh;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against changes in the store that a node misses.
 */
class PrefixWatchTests {

	private static final long STEP_MILLISECONDS = 10;

	private final FakeMeshStore store = new FakeMeshStore();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final List<String> events = new ArrayList<>();

	private final Deque<Throwable> listenerFailures = new ArrayDeque<>();

	private final MeshStore checkedStore = new EraCheckedStore(this.store, (era, restored) -> {
	});

	private final PrefixWatch watch = new PrefixWatch(this.checkedStore, this.channel.eventLoop(), "p",
			Duration.ofMillis(150), (items) -> record("all", items), (items) -> record("changes", items));

	private void record(String event, MeshStore.StoredItems items) {
		Throwable failure = this.listenerFailures.poll();
		if (failure instanceof Error error) {
			throw error;
		}
		if (failure instanceof RuntimeException exception) {
			throw exception;
		}
		this.events.add(event + " " + items.items().size());
	}

	// Advances in small steps, since a task that is due may schedule the next one.
	private void advanceTime(long milliseconds) {
		for (long passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
			this.channel.advanceTimeBy(STEP_MILLISECONDS, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

	@Test
	void watchContinuesFromTheRevisionOfTheList() {
		this.watch.start();
		advanceTime(200);
		assertThat(this.store.calls).containsExactly("list", "watch 10");
	}

	@Test
	void lostHistoryCausesANewList() {
		this.watch.start();
		advanceTime(200);
		this.store.watches.get(0)
			.completeExceptionally(new MeshStoreException(MeshStoreException.Kind.HISTORY_LOST, "history lost"));
		advanceTime(200);
		assertThat(this.events).containsExactly("all 0", "all 0");
	}

	/**
	 * Guards against a node that follows no change any more, since the response to its
	 * watch is too long and only grows.
	 */
	@Test
	void responseThatIsTooLongCausesANewList() {
		this.watch.start();
		advanceTime(200);
		this.store.watches.get(0)
			.completeExceptionally(new MeshStoreException(MeshStoreException.Kind.RESPONSE_TOO_LONG, "too long"));
		advanceTime(200);
		assertThat(this.events).containsExactly("all 0", "all 0");
		assertThat(this.watch.reachable()).isTrue();
	}

	@Test
	void changesAtRevisionsThatARestoredStoreAssignsAgainAreNotMissed() {
		this.watch.start();
		FakeMeshStore.Copy copy = this.store.copy();
		this.store.put("p/lost", new byte[1]);
		advanceTime(400);
		this.store.restore(copy);
		this.store.put("p/new", new byte[1]);
		this.store.put("other", new byte[1]);
		advanceTime(1000);
		assertThat(this.events).endsWith("all 1");
	}

	@Test
	void watchThatWaitsAcrossTheReturnOfTheStoreEndsWithTheFirstResultOfTheNewEra() {
		this.watch.start();
		FakeMeshStore.Copy copy = this.store.copy();
		advanceTime(200);
		this.store.restoreWithoutBreakingConnections(copy);
		this.checkedStore.get("other");
		advanceTime(20);
		assertThat(this.store.calls).containsExactly("list", "watch 10", "get", "list");
	}

	@Test
	void watchGoesOnAfterItsListenerHasFailed() {
		this.listenerFailures.add(new IllegalStateException("test"));
		this.listenerFailures.add(new StackOverflowError("test"));
		this.watch.start();
		advanceTime(200);
		this.store.put("p/first", new byte[1]);
		advanceTime(200);
		this.store.put("p/second", new byte[1]);
		advanceTime(200);
		assertThat(this.listenerFailures).isEmpty();
		assertThat(this.events).containsExactly("changes 1");
	}

	@Test
	void failedWatchIsRetriedWithinASecond() {
		this.watch.start();
		advanceTime(200);
		this.store.watches.get(0)
			.completeExceptionally(new MeshStoreException(MeshStoreException.Kind.UNKNOWN, "connection lost"));
		assertThat(this.watch.reachable()).isFalse();
		advanceTime(1000);
		assertThat(this.store.calls).containsExactly("list", "watch 10", "watch 10", "watch 10");
	}

}
