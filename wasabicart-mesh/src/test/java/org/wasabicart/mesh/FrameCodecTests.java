package org.wasabicart.mesh;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import org.junit.jupiter.api.Test;

import org.wasabicart.wire.generated.mesh.MeshFrame;
import org.wasabicart.wire.generated.mesh.MeshReply;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against decoding incomplete frames, and against allocating more memory for a
 * frame than the VM has.
 */
class FrameCodecTests {

	private static EmbeddedChannel channel() {
		EmbeddedChannel channel = new EmbeddedChannel();
		FrameCodec.addTo(channel.pipeline(), new HeldMemory(Long.MAX_VALUE, Runnable::run));
		return channel;
	}

	private static MeshFrame frame(long stream) {
		return MeshFrame.newBuilder()
			.setReply(MeshReply.newBuilder()
				.setStream(stream)
				.setHeaders(ByteString.copyFromUtf8("A: b\r\n"))
				.setBody(ByteString.copyFrom(new byte[300])))
			.build();
	}

	@Test
	void framesAreDecodedWhenTheyArriveInParts() {
		EmbeddedChannel sender = channel();
		sender.writeOutbound(frame(1), frame(2));
		ByteBuf bytes = Unpooled.wrappedBuffer(sender.<ByteBuf>readOutbound(), sender.<ByteBuf>readOutbound());
		EmbeddedChannel receiver = channel();
		while (bytes.isReadable()) {
			receiver.writeInbound(bytes.readBytes(Math.min(7, bytes.readableBytes())));
		}
		assertThat(receiver.<MeshFrame>readInbound()).isEqualTo(frame(1));
		assertThat(receiver.<MeshFrame>readInbound()).isEqualTo(frame(2));
		assertThat(receiver.<MeshFrame>readInbound()).isNull();
	}

	@Test
	void tooLargeFrameIsRejectedBeforeItsContentArrives() {
		EmbeddedChannel receiver = channel();
		assertThatExceptionOfType(DecoderException.class)
			.isThrownBy(() -> receiver.writeInbound(Unpooled.copyInt(Integer.MAX_VALUE)));
	}

	@Test
	void negativeLengthIsRejected() {
		EmbeddedChannel receiver = channel();
		assertThatExceptionOfType(DecoderException.class).isThrownBy(() -> receiver.writeInbound(Unpooled.copyInt(-1)));
	}

}
