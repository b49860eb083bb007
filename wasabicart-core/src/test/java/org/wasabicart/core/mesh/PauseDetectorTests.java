package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are treated as new though they waited while the process
 * was stopped or its VM suspended.
 */
class PauseDetectorTests {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final PauseDetector detector = new PauseDetector();

	@BeforeEach
	void start() {
		assertThat(this.detector.observe(0, 1_000_000)).isFalse();
		assertThat(this.detector.observe(50 * MILLISECOND, 1_000_050)).isFalse();
	}

	@Test
	void stoppedProcessIsDetectedByTheMonotonicClock() {
		assertThat(this.detector.observe(3050 * MILLISECOND, 1_000_050)).isTrue();
		assertThat(this.detector.receiveDelay(3060 * MILLISECOND)).isEqualTo(3000 * MILLISECOND);
		assertThat(this.detector.receiveDelay(3160 * MILLISECOND)).isZero();
	}

	@Test
	void suspendedVmIsDetectedByTheWallClock() {
		assertThat(this.detector.observe(100 * MILLISECOND, 1_002_100)).isTrue();
		assertThat(this.detector.receiveDelay(100 * MILLISECOND)).isEqualTo(2050 * MILLISECOND);
	}

	@Test
	void wallClockThatIsSetBackIsNoPause() {
		assertThat(this.detector.observe(100 * MILLISECOND, 997_000)).isFalse();
		assertThat(this.detector.observe(150 * MILLISECOND, 997_050)).isFalse();
		assertThat(this.detector.receiveDelay(150 * MILLISECOND)).isZero();
	}

	@Test
	void lateTickIsNoPause() {
		assertThat(this.detector.observe(400 * MILLISECOND, 1_000_400)).isFalse();
	}

}
