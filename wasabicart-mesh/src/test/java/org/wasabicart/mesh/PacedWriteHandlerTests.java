package org.wasabicart.mesh;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages that are written incompletely or out of order, and against
 * memory that stays counted after a connection is closed.
 */
class PacedWriteHandlerTests {

	private static final int LONG_BYTES = 10 * PacedWriteHandler.PIECE_BYTES + 1;

	private final HeldMemory memory = new HeldMemory(Long.MAX_VALUE, Runnable::run);

	private final PacedWriteHandler writer = new PacedWriteHandler(this.memory, HeldMemory.Kind.UNREAD);

	private final EmbeddedChannel channel = new EmbeddedChannel(this.writer);

	private static ByteBuf message(int length) {
		byte[] bytes = new byte[length];
		for (int i = 0; i < length; i++) {
			bytes[i] = (byte) (i * 31 + length);
		}
		return Unpooled.wrappedBuffer(bytes);
	}

	private ByteBuf written() {
		ByteBuf result = Unpooled.buffer();
		for (ByteBuf piece = this.channel.readOutbound(); piece != null; piece = this.channel.readOutbound()) {
			assertThat(piece.readableBytes()).isLessThanOrEqualTo(PacedWriteHandler.PIECE_BYTES);
			result.writeBytes(piece);
			piece.release();
		}
		return result;
	}

	@Test
	void messagesAreWrittenInPiecesAndInOrder() {
		ByteBuf direct = Unpooled.directBuffer().writeBytes("end".getBytes(StandardCharsets.US_ASCII));
		this.channel.write(message(10));
		ChannelFuture longMessage = this.channel.write(message(LONG_BYTES));
		this.channel.write(direct);
		assertThat(longMessage.isDone()).isFalse();
		assertThat(this.memory.held()).isEqualTo(LONG_BYTES + 3);
		this.channel.flush();
		assertThat(longMessage.isSuccess()).isTrue();
		assertThat(written()).isEqualTo(Unpooled.wrappedBuffer(message(10), message(LONG_BYTES),
				Unpooled.copiedBuffer("end", StandardCharsets.US_ASCII)));
		assertThat(direct.refCnt()).isZero();
		assertThat(this.memory.held()).isZero();
		assertThat(this.writer.writable()).isTrue();
		assertThat(this.writer.writtenBytes()).isEqualTo(10 + LONG_BYTES + 3);
	}

	@Test
	void queuedMessagesFailWhenTheConnectionIsClosed() {
		ChannelFuture queued = this.channel.write(message(LONG_BYTES));
		this.channel.close();
		assertThat(queued.isDone()).isTrue();
		assertThat(queued.isSuccess()).isFalse();
		assertThat(this.memory.held()).isZero();
		assertThat(this.channel.write(message(LONG_BYTES)).isSuccess()).isFalse();
		assertThat(this.memory.held()).isZero();
	}

}
