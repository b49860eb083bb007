package org.wasabicart.core.allotment;

import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a node that takes itself for the whole fleet, and against a share that
 * stays too small after the fleet has become smaller.
 */
class FleetSizeTests {

	private final FleetSize size = new FleetSize();

	private static long at(long seconds) {
		return TimeUnit.SECONDS.toNanos(seconds);
	}

	@Test
	void nodeThatHasReadNoListHasNoShare() {
		assertThat(this.size.known(at(60))).isFalse();
		assertThat(this.size.divisor(1, at(60))).isEqualTo(FleetSize.UNKNOWN);
		assertThat(this.size.sizeToRecord(1, at(60))).isEmpty();
	}

	@Test
	void recordedSizeCountsWhileEntriesAreMissing() {
		this.size.listed(OptionalInt.of(12), at(5));
		assertThat(this.size.divisor(1, at(5))).isEqualTo(12);
		assertThat(this.size.divisor(15, at(6))).isEqualTo(15);
		assertThat(this.size.divisor(9, at(36))).isEqualTo(9);
	}

	@Test
	void firstFleetIsKnownOnceItsNodesHaveHadTimeToAppear() {
		this.size.listed(OptionalInt.empty(), at(5));
		this.size.listed(OptionalInt.empty(), at(7));
		assertThat(this.size.known(at(7))).isFalse();
		assertThat(this.size.known(at(8))).isTrue();
		assertThat(this.size.divisor(3, at(8))).isEqualTo(3);
		assertThat(this.size.sizeToRecord(3, at(8))).hasValue(3);
	}

	@Test
	void recordFollowsALargerFleetAtOnceAndASmallerOneLater() {
		this.size.listed(OptionalInt.of(12), at(5));
		assertThat(this.size.sizeToRecord(12, at(6))).isEmpty();
		assertThat(this.size.sizeToRecord(13, at(7))).hasValue(13);
		this.size.recorded(OptionalInt.of(13));
		assertThat(this.size.sizeToRecord(12, at(8))).isEmpty();
		assertThat(this.size.sizeToRecord(13, at(17))).isEmpty();
		assertThat(this.size.sizeToRecord(12, at(18))).isEmpty();
		assertThat(this.size.sizeToRecord(12, at(27))).isEmpty();
		assertThat(this.size.sizeToRecord(12, at(28))).hasValue(12);
	}

}
