package org.wasabicart.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against changes that a node does not learn of.
 */
class PrefixWatchTests {

	private final FakeMeshStore store = new FakeMeshStore();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final List<String> events = new ArrayList<>();

	private final PrefixWatch watch = new PrefixWatch(this.store, this.channel.eventLoop(), "p", Duration.ofMillis(150),
			(items) -> this.events.add("all " + items.items().size()),
			(items) -> this.events.add("changes " + items.items().size()));

	private void passMilliseconds(long milliseconds) {
		this.channel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	@Test
	void continuesFromTheRevisionOfTheReading() {
		this.watch.start();
		passMilliseconds(200);
		assertThat(this.store.calls).containsExactly("list", "watch 10");
	}

	@Test
	void lostHistoryMakesItReadEverythingAgain() {
		this.watch.start();
		passMilliseconds(200);
		this.store.watches.get(0)
			.completeExceptionally(new MeshStoreException(MeshStoreException.Kind.HISTORY_LOST, "gone"));
		passMilliseconds(200);
		assertThat(this.events).containsExactly("all 0", "all 0");
	}

	@Test
	void cutWatchIsRepeatedWithinASecond() {
		this.watch.start();
		passMilliseconds(200);
		this.store.watches.get(0).completeExceptionally(new MeshStoreException(MeshStoreException.Kind.UNKNOWN, "cut"));
		assertThat(this.watch.reachable()).isFalse();
		passMilliseconds(1000);
		assertThat(this.store.calls).containsExactly("list", "watch 10", "watch 10");
	}

}
