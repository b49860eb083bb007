package org.wasabicart.mesh;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

import org.wasabicart.wire.generated.mesh.MeshFrame;

/**
 * Frames on a link: a length of four bytes, then a protobuf message.
 */
final class FrameCodec {

	/** Largest frame in bytes: the largest answer with its header fields. */
	private static final int MAXIMUM_FRAME_BYTES = BackendConnection.MAXIMUM_BODY_BYTES + 64 * 1024;

	private static final int LENGTH_BYTES = 4;

	private FrameCodec() {
	}

	static void addTo(ChannelPipeline pipeline) {
		pipeline.addLast(new LengthFieldBasedFrameDecoder(MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
				new ProtobufDecoder(MeshFrame.getDefaultInstance()), new LengthFieldPrepender(LENGTH_BYTES),
				new ProtobufEncoder());
	}

}
