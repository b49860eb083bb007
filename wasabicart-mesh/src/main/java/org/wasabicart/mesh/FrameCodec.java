package org.wasabicart.mesh;

import java.io.IOException;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.TooLongFrameException;

import org.wasabicart.wire.generated.mesh.MeshFrame;

/**
 * Encodes and decodes the frames of a link: a length of four bytes, followed by a
 * protobuf message.
 */
final class FrameCodec {

	/** Maximum frame size: the largest response body plus its header fields. */
	private static final int MAXIMUM_FRAME_BYTES = BackendConnection.MAXIMUM_BODY_BYTES + 64 * 1024;

	private FrameCodec() {
	}

	/**
	 * Adds the codec to the empty pipeline of a link.
	 * @param pipeline pipeline
	 * @param memory account of the bytes that the node holds
	 */
	static void addTo(ChannelPipeline pipeline, HeldMemory memory) {
		pipeline.addLast(new PacedWriteHandler(memory, HeldMemory.Kind.FIXED), new Decoder(memory), new Encoder());
	}

	/**
	 * Returns the number of bytes on a link that the operating system has yet to accept.
	 * @param pipeline pipeline of the link
	 * @return the number
	 */
	static long unwrittenBytes(ChannelPipeline pipeline) {
		PacedWriteHandler writer = pipeline.get(PacedWriteHandler.class);
		return (writer != null) ? writer.unwrittenBytes() : 0;
	}

	/**
	 * Decodes a frame once all of its bytes have arrived. The bytes of an incomplete
	 * frame are held in the heap.
	 */
	private static final class Decoder extends ChannelInboundHandlerAdapter {

		private final HeldMemory.Holding holding;

		private final ByteBuf prefix = Unpooled.buffer(Integer.BYTES, Integer.BYTES);

		private final BodyAccumulator content = new BodyAccumulator();

		private int length = -1;

		Decoder(HeldMemory memory) {
			this.holding = memory.open(HeldMemory.Kind.FIXED, () -> {
			});
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
			ByteBuf input = (ByteBuf) message;
			try {
				while (input.isReadable() && (this.length >= 0 || readLength(input))) {
					readContent(context, input);
				}
			}
			finally {
				input.release();
				this.holding.resize(this.content.size());
			}
		}

		private boolean readLength(ByteBuf input) {
			input.readBytes(this.prefix, Math.min(input.readableBytes(), this.prefix.writableBytes()));
			if (this.prefix.isWritable()) {
				return false;
			}
			this.length = this.prefix.readInt();
			this.prefix.clear();
			if (this.length < 0 || this.length > MAXIMUM_FRAME_BYTES) {
				throw new TooLongFrameException(
						"Frame exceeds the maximum size: " + Integer.toUnsignedString(this.length) + " bytes");
			}
			return true;
		}

		private void readContent(ChannelHandlerContext context, ByteBuf input) throws IOException {
			int missing = this.length - this.content.size();
			if (input.readableBytes() < missing) {
				this.content.append(input);
				return;
			}
			this.length = -1;
			if (this.content.size() == 0) {
				MeshFrame frame = MeshFrame.parseFrom(input.nioBuffer(input.readerIndex(), missing));
				input.skipBytes(missing);
				context.fireChannelRead(frame);
				return;
			}
			this.content.append(input.readSlice(missing));
			context.fireChannelRead(MeshFrame.parseFrom(this.content.take()));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.content.clear();
			this.holding.release();
			context.fireChannelInactive();
		}

	}

	/**
	 * Encodes each frame into a single buffer.
	 */
	private static final class Encoder extends MessageToByteEncoder<MeshFrame> {

		Encoder() {
			super(MeshFrame.class);
		}

		@Override
		protected ByteBuf allocateBuffer(ChannelHandlerContext context, MeshFrame frame, boolean preferDirect) {
			int length = Integer.BYTES + frame.getSerializedSize();
			// Long frames are written in pieces, and need no direct memory as a whole.
			return (length <= PacedWriteHandler.PIECE_BYTES) ? context.alloc().ioBuffer(length)
					: context.alloc().heapBuffer(length);
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
