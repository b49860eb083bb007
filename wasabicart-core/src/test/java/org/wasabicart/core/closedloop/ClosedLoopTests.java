package org.wasabicart.core.closedloop;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Drives admission and early refusal against fake servers. The bounds are the targets of
 * the design page, section 12.1.
 */
class ClosedLoopTests {

	private static final double CAPACITY = 1000;

	private static final double GOODPUT_TARGET = 0.95;

	private static final double IMPORTANT_TARGET = 0.99;

	private static final double RECOVERED = 0.95;

	private static final double WASTE_TARGET = 0.03;

	private final KindLoad high = new KindLoad("high", 90, 0.3 * CAPACITY, 2, true);

	private final KindLoad middle = new KindLoad("middle", 50, 0.3 * CAPACITY, 2, true);

	private final KindLoad low = new KindLoad("low", 10, 0.2 * CAPACITY, 2, true);

	private FakeChain start(long seed) {
		FakeChain chain = new FakeChain(seed, "wasabicart", new int[] { 60, 60, 20 }, new double[] { 5, 5, 20 });
		chain.start(this.high);
		chain.start(this.middle);
		chain.start(this.low);
		chain.runUntil(3);
		chain.resetWaste();
		return chain;
	}

	private double goodput(double from, double to) {
		return this.high.goodput(from, to) + this.middle.goodput(from, to) + this.low.goodput(from, to);
	}

	// Guards against goodput that falls with demand, and against refused important work.
	@ParameterizedTest
	@CsvSource({ "2,1", "5,1", "10,1", "2,2", "5,2", "10,2" })
	void surgeKeepsGoodputAtCapacity(int multiple, long seed) {
		FakeChain chain = start(seed);
		this.low.setRate((multiple - 0.6) * CAPACITY);
		chain.runUntil(13);
		double waste = chain.wastedShare();
		assertThat(goodput(3.5, 13)).as("goodput").isGreaterThanOrEqualTo(GOODPUT_TARGET * CAPACITY);
		assertThat(waste).as("wasted").isLessThanOrEqualTo(WASTE_TARGET);
		double important = this.high.goodput(3, 13) / this.high.demand(3, 13);
		assertThat(important).as("important").isGreaterThanOrEqualTo(IMPORTANT_TARGET);
	}

	// Guards against an overload that outlasts its trigger.
	@Test
	void goodputRecoversAfterSurge() {
		FakeChain chain = start(3);
		this.low.setRate(9.4 * CAPACITY);
		chain.runUntil(8);
		this.low.setRate(0.2 * CAPACITY);
		chain.runUntil(14);
		assertThat(goodput(10, 12)).as("goodput").isGreaterThanOrEqualTo(RECOVERED * goodput(1, 3));
	}

	// Guards against a limit that collapses while the service is slower, and against a
	// threshold that stays up after it is fast again.
	@Test
	void slowServiceKeepsImportantWorkAndRecovers() {
		FakeChain chain = start(4);
		chain.servers.get(2).setServiceMilliseconds(40);
		chain.runUntil(9);
		double during = goodput(4, 9);
		assertThat(during).as("goodput").isGreaterThanOrEqualTo(GOODPUT_TARGET * CAPACITY / 2);
		double important = this.high.goodput(3, 9) / this.high.demand(3, 9);
		assertThat(important).as("important").isGreaterThanOrEqualTo(IMPORTANT_TARGET);
		chain.servers.get(2).setServiceMilliseconds(20);
		chain.runUntil(14);
		assertThat(goodput(11, 13)).as("goodput").isGreaterThanOrEqualTo(RECOVERED * goodput(1, 3));
	}

	// Guards against clients whose quick retries keep a service overloaded.
	@Test
	void retryStormEndsWithItsTrigger() {
		FakeChain chain = start(5);
		KindLoad storm = new KindLoad("storm", 5, 2 * CAPACITY, 8, false);
		chain.start(storm);
		chain.runUntil(8);
		double during = goodput(3.5, 8) + storm.goodput(3.5, 8);
		assertThat(during).as("goodput").isGreaterThanOrEqualTo(GOODPUT_TARGET * CAPACITY);
		storm.setRate(0);
		chain.runUntil(13);
		assertThat(goodput(10, 12)).as("goodput").isGreaterThanOrEqualTo(RECOVERED * goodput(1, 3));
	}

	// Guards against a limit that follows the declared slots of a server that has fewer.
	@Test
	void lostSlotsKeepGoodputAtTheRealCapacity() {
		FakeChain chain = start(6);
		chain.servers.get(2).setSlots(10);
		chain.runUntil(9);
		double during = goodput(4, 9);
		assertThat(during).as("goodput").isGreaterThanOrEqualTo(GOODPUT_TARGET * CAPACITY / 2);
	}

}
