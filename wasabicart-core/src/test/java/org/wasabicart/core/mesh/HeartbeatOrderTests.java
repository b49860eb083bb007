package org.wasabicart.core.mesh;

import org.junit.jupiter.api.Test;

import org.wasabicart.core.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against acknowledging heartbeats that take no effect, since a server that got an
 * acknowledgement of its drain gets requests until it exits.
 */
class HeartbeatOrderTests {

	private static final ServiceName SERVICE = new ServiceName("s");

	private final HeartbeatOrder order = new HeartbeatOrder(SERVICE);

	private HeartbeatOutcome accept(String instance, long born, long sequence) {
		return this.order.accept(SERVICE, new BackendIncarnation(instance, born), sequence);
	}

	@Test
	void heartbeatOfAnEarlierRunIsNotAcknowledged() {
		accept("i-1", 2, 1);
		assertThat(accept("i-1", 1, 9)).isEqualTo(HeartbeatOutcome.EARLIER_RUN);
		assertThat(accept("i-0", 0, 9).acknowledged()).isFalse();
		assertThat(accept("i-1", 2, 2)).isEqualTo(HeartbeatOutcome.CURRENT);
	}

	@Test
	void heartbeatOfAnotherServiceDoesNotReplaceTheServer() {
		accept("i-1", 1, 1);
		assertThat(this.order.accept(new ServiceName("other"), new BackendIncarnation("i-1", 9), 1))
			.isEqualTo(HeartbeatOutcome.OTHER_SERVICE);
		assertThat(HeartbeatOutcome.OTHER_SERVICE.acknowledged()).isFalse();
		assertThat(accept("i-1", 1, 2)).isEqualTo(HeartbeatOutcome.CURRENT);
	}

	@Test
	void laterRunAndAnotherServerReplaceTheLatestOne() {
		accept("i-1", 1, 5);
		assertThat(accept("i-1", 2, 1)).isEqualTo(HeartbeatOutcome.CURRENT);
		assertThat(accept("i-2", 2, 1)).isEqualTo(HeartbeatOutcome.CURRENT);
	}

	@Test
	void overtakenHeartbeatIsAcknowledged() {
		accept("i-1", 1, 5);
		assertThat(accept("i-1", 1, 5)).isEqualTo(HeartbeatOutcome.OVERTAKEN);
		assertThat(accept("i-1", 1, 4).acknowledged()).isTrue();
	}

}
