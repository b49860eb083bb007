package org.wasabicart.mesh;

import java.util.SplittableRandom;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies that differ from the parts that they were collected from.
 */
class BodyAccumulatorTests {

	private final BodyAccumulator accumulator = new BodyAccumulator();

	@Test
	void bodyEqualsTheAppendedParts() {
		SplittableRandom random = new SplittableRandom(1);
		for (int body = 0; body < 200; body++) {
			ByteBuf expected = Unpooled.buffer();
			int parts = random.nextInt(60);
			for (int part = 0; part < parts; part++) {
				byte[] bytes = new byte[(random.nextInt(4) == 0) ? random.nextInt(40_000) : random.nextInt(20)];
				random.nextBytes(bytes);
				expected.writeBytes(bytes);
				this.accumulator.append(Unpooled.wrappedBuffer(bytes));
			}
			assertThat(this.accumulator.size()).isEqualTo(expected.readableBytes());
			assertThat(Unpooled.wrappedBuffer(this.accumulator.take())).isEqualTo(expected);
			assertThat(this.accumulator.size()).isZero();
		}
	}

	@Test
	void clearedBodyIsEmpty() {
		this.accumulator.append(Unpooled.wrappedBuffer(new byte[100_000]));
		this.accumulator.clear();
		assertThat(this.accumulator.take()).isEmpty();
	}

}
