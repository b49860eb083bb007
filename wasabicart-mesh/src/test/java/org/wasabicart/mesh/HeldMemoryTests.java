package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a node that holds more than it has memory for, and against discarding
 * sound messages in place of an endless one.
 */
class HeldMemoryTests {

	private static final int UNIT = 100_000;

	private static final long LIMIT = 10L * UNIT;

	private final List<Runnable> tasks = new ArrayList<>();

	private final HeldMemory memory = new HeldMemory(LIMIT, this.tasks::add);

	private final List<String> discarded = new ArrayList<>();

	private HeldMemory.Holding open(String name, HeldMemory.Kind kind, int units) {
		HeldMemory.Holding holding = this.memory.open(kind, () -> this.discarded.add(name));
		holding.resize((long) units * UNIT);
		return holding;
	}

	private void runTasks() {
		List<Runnable> due = List.copyOf(this.tasks);
		this.tasks.clear();
		due.forEach(Runnable::run);
	}

	@Test
	void nothingIsGivenUpWithinTheLimit() {
		HeldMemory.Holding holding = open("a", HeldMemory.Kind.UNBOUNDED, 10);
		assertThat(this.tasks).isEmpty();
		assertThat(this.memory.hasRoom(0)).isFalse();
		holding.resize(9L * UNIT);
		assertThat(this.memory.hasRoom(0)).isTrue();
	}

	@Test
	void endlessMessageIsGivenUpBeforeLargerOnes() {
		open("response", HeldMemory.Kind.INCOMPLETE, 7);
		open("endless", HeldMemory.Kind.UNBOUNDED, 3);
		open("unread", HeldMemory.Kind.UNREAD, 2);
		runTasks();
		assertThat(this.discarded).containsExactly("endless");
		assertThat(this.memory.held()).isEqualTo(9L * UNIT);
	}

	@Test
	void largestMessagesAreGivenUpUntilTheOthersFit() {
		open("a", HeldMemory.Kind.UNBOUNDED, 1);
		open("b", HeldMemory.Kind.UNBOUNDED, 7);
		open("c", HeldMemory.Kind.UNBOUNDED, 6);
		open("d", HeldMemory.Kind.UNBOUNDED, 8);
		runTasks();
		assertThat(this.discarded).containsExactly("d", "b");
		assertThat(this.memory.discarded()).isEqualTo(2);
		assertThat(this.memory.peak()).isEqualTo(22L * UNIT);
	}

	@Test
	void fixedAndSmallHoldingsAreNotDiscarded() {
		open("fixed", HeldMemory.Kind.FIXED, 12);
		HeldMemory.Holding small = this.memory.open(HeldMemory.Kind.UNREAD, () -> this.discarded.add("small"));
		small.resize(1);
		runTasks();
		assertThat(this.discarded).isEmpty();
	}

	/**
	 * Guards against closing the connections of callers whose responses cannot make room
	 * for the large messages of others.
	 */
	@Test
	void unreadResponsesThatCannotMakeRoomAreNotDiscarded() {
		open("unread", HeldMemory.Kind.UNREAD, 1);
		open("waiting", HeldMemory.Kind.WAITING, 1);
		HeldMemory.Holding fixed = open("fixed", HeldMemory.Kind.FIXED, 12);
		runTasks();
		assertThat(this.discarded).containsExactly("waiting");
		fixed.resize(10L * UNIT);
		runTasks();
		assertThat(this.discarded).containsExactly("waiting", "unread");
	}

	/**
	 * Guards against a message whose copy for another node exceeds the limit although the
	 * message itself does not.
	 */
	@Test
	void copyOfALargeMessageMustFitAsWell() {
		open("running", HeldMemory.Kind.FIXED, 5);
		assertThat(this.memory.hasRoom(4L * UNIT)).isTrue();
		assertThat(this.memory.hasRoom(4L * UNIT + 1)).isFalse();
	}

	@Test
	void releasedHoldingIsNotDiscarded() {
		HeldMemory.Holding released = open("released", HeldMemory.Kind.UNBOUNDED, 9);
		open("other", HeldMemory.Kind.UNBOUNDED, 8);
		released.release();
		runTasks();
		assertThat(this.discarded).isEmpty();
		assertThat(this.memory.underPressure()).isTrue();
	}

}
