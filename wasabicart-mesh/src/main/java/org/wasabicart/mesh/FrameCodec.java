package org.wasabicart.mesh;

import java.io.IOException;
import java.util.List;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.TooLongFrameException;

import org.wasabicart.wire.generated.mesh.MeshFrame;

/**
 * Frames on a link: a length of four bytes, then a protobuf message.
 */
final class FrameCodec {

	/** Largest frame in bytes: the largest answer with its header fields. */
	private static final int MAXIMUM_FRAME_BYTES = BackendConnection.MAXIMUM_BODY_BYTES + 64 * 1024;

	private FrameCodec() {
	}

	static void addTo(ChannelPipeline pipeline) {
		pipeline.addLast(new Decoder(), new Encoder());
	}

	/**
	 * Reads each frame once it is whole.
	 */
	private static final class Decoder extends ByteToMessageDecoder {

		@Override
		protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws IOException {
			if (input.readableBytes() < Integer.BYTES) {
				return;
			}
			int length = input.getInt(input.readerIndex());
			if (length < 0 || length > MAXIMUM_FRAME_BYTES) {
				throw new TooLongFrameException("frame of " + Integer.toUnsignedString(length) + " bytes");
			}
			if (input.readableBytes() - Integer.BYTES < length) {
				return;
			}
			input.skipBytes(Integer.BYTES);
			output.add(MeshFrame.parseFrom(input.nioBuffer(input.readerIndex(), length)));
			input.skipBytes(length);
		}

	}

	/**
	 * Writes each frame into one buffer.
	 */
	private static final class Encoder extends MessageToByteEncoder<MeshFrame> {

		Encoder() {
			super(MeshFrame.class);
		}

		@Override
		protected ByteBuf allocateBuffer(ChannelHandlerContext context, MeshFrame frame, boolean preferDirect) {
			return context.alloc().ioBuffer(Integer.BYTES + frame.getSerializedSize());
		}

		@Override
		protected void encode(ChannelHandlerContext context, MeshFrame frame, ByteBuf output) throws IOException {
			int length = frame.getSerializedSize();
			output.writeInt(length);
			CodedOutputStream stream = CodedOutputStream.newInstance(output.nioBuffer(output.writerIndex(), length));
			frame.writeTo(stream);
			stream.flush();
			output.writerIndex(output.writerIndex() + length);
		}

	}

}
