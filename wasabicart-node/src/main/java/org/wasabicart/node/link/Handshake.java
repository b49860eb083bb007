package org.wasabicart.node.link;

import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;

import org.wasabicart.wire.generated.link.Frame;
import org.wasabicart.wire.generated.link.Hello;

/**
 * First frames of a link: the opener sends its challenge, the other side answers with its
 * own challenge and proof, and the opener sends its proof. Nothing else is accepted
 * before both proofs hold.
 */
abstract class Handshake extends SimpleChannelInboundHandler<Frame> {

	static final int PROTOCOL_VERSION = 1;

	private static final int CHALLENGE_BYTES = 32;

	private static final Logger logger = Logger.getLogger(Handshake.class);

	private final LinkEnvironment environment;

	private Future<?> timeout;

	Handshake(LinkEnvironment environment) {
		super(Frame.class);
		this.environment = environment;
	}

	final LinkEnvironment environment() {
		return this.environment;
	}

	final Hello.Builder hello(long epoch) {
		byte[] challenge = new byte[CHALLENGE_BYTES];
		this.environment.random().nextBytes(challenge);
		return Hello.newBuilder()
			.setProtocolVersion(PROTOCOL_VERSION)
			.setNodeId(this.environment.identity().nodeId().value())
			.setInstance(this.environment.identity().instance().value())
			.setEpoch(epoch)
			.setChallenge(ByteString.copyFrom(challenge));
	}

	static void send(ChannelHandlerContext context, Hello hello) {
		context.writeAndFlush(Frame.newBuilder().setHello(hello).build());
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		long milliseconds = this.environment.limits().connectTimeout().toMillis();
		this.timeout = context.executor()
			.schedule(() -> reject(context, "no handshake in time"), milliseconds, TimeUnit.MILLISECONDS);
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		this.timeout.cancel(false);
	}

	@Override
	protected final void channelRead0(ChannelHandlerContext context, Frame frame) {
		if (!frame.hasHello() || frame.getHello().getProtocolVersion() < 1
				|| frame.getHello().getChallenge().size() != CHALLENGE_BYTES) {
			reject(context, "not a valid hello");
			return;
		}
		received(context, frame.getHello());
	}

	abstract void received(ChannelHandlerContext context, Hello hello);

	abstract void failed(String reason);

	final void reject(ChannelHandlerContext context, String reason) {
		logger.debugf("event=link-rejected peer=%s reason=\"%s\"", context.channel().remoteAddress(), reason);
		failed(reason);
		context.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		failed("connection closed");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		reject(context, cause.toString());
	}

}
