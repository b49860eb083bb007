package org.wasabicart.node.link;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

import org.wasabicart.wire.generated.link.Frame;

/**
 * Sets up the handlers of a link's channel: length-prefixed Protobuf frames, first with
 * the handshake, then with the established link.
 */
final class LinkPipeline {

	private static final String LENGTH_DECODER = "length-decoder";

	private static final String LINK = "link";

	private static final int LENGTH_BYTES = 4;

	/** Limits the memory that a peer can take before it has proved the shared key. */
	private static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 1024;

	private LinkPipeline() {
	}

	static void initialize(ChannelPipeline pipeline, ChannelHandler handshake) {
		pipeline.addLast(LENGTH_DECODER, lengthDecoder(MAXIMUM_HANDSHAKE_FRAME_BYTES));
		pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
		pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
		pipeline.addLast(new ProtobufEncoder());
		pipeline.addLast(LINK, handshake);
	}

	static void installLink(ChannelPipeline pipeline, ChannelHandler link, LinkLimits limits) {
		// The link must be installed before the decoder is replaced: the removed decoder
		// passes on the bytes that it has buffered, which can hold the link's first
		// frames.
		pipeline.replace(LINK, LINK, link);
		pipeline.replace(LENGTH_DECODER, LENGTH_DECODER, lengthDecoder(limits.maximumFrameBytes()));
	}

	private static LengthFieldBasedFrameDecoder lengthDecoder(int maximumFrameBytes) {
		return new LengthFieldBasedFrameDecoder(maximumFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

}
