package org.wasabicart.node.observe;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Guards against metrics and logs that grow with the input.
 */
class BoundsTests {

	@Test
	void labelValuesBeyondTheBoundShareOne() {
		BoundedLabels labels = new BoundedLabels(2);
		Assertions.assertThat(labels.of("a")).isEqualTo("a");
		Assertions.assertThat(labels.of("b")).isEqualTo("b");
		Assertions.assertThat(labels.of("c")).isEqualTo(BoundedLabels.OTHER);
		Assertions.assertThat(labels.of("a")).isEqualTo("a");
	}

	@Test
	void linesBeyondTheRateAreCounted() {
		AtomicLong now = new AtomicLong();
		LogLimiter limiter = new LogLimiter(now::get, 2);
		Assertions.assertThat(limiter.tryToLog()).isEqualTo(OptionalLong.of(0));
		Assertions.assertThat(limiter.tryToLog()).isEqualTo(OptionalLong.of(0));
		Assertions.assertThat(limiter.tryToLog()).isEmpty();
		now.addAndGet(1_000_000_000L);
		Assertions.assertThat(limiter.tryToLog()).isEqualTo(OptionalLong.of(1));
	}

}
