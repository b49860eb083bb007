package org.wasabicart.mesh;

import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a periodic task that is not run again after a failure.
 */
class GuardedTaskTests {

	private int runs;

	@Test
	void periodicTaskIsRunAgainAfterItHasFailed() {
		EmbeddedChannel channel = new EmbeddedChannel();
		channel.eventLoop().scheduleWithFixedDelay(new GuardedTask("test", () -> {
			this.runs++;
			throw (this.runs % 2 == 0) ? new IllegalStateException("test") : new IllegalArgumentException("test");
		}), 10, 10, TimeUnit.MILLISECONDS);
		for (int i = 0; i < 5; i++) {
			channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
			channel.runScheduledPendingTasks();
		}
		assertThat(this.runs).isEqualTo(5);
	}

}
