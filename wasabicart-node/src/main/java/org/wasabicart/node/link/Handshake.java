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
 * Authenticates both sides of a new link: the client sends its challenge, the server
 * responds with its own challenge and proof, and the client sends its proof. No other
 * frame is accepted before both proofs are verified.
 */
abstract class Handshake extends SimpleChannelInboundHandler<Frame> {

	static final int PROTOCOL_VERSION = 1;

	private static final int CHALLENGE_BYTES = 32;

	private static final Logger logger = Logger.getLogger(Handshake.class);

	private final LinkEnvironment environment;

	private Future<?> timeoutTask;

	Handshake(LinkEnvironment environment) {
		super(Frame.class);
		this.environment = environment;
	}

	final LinkEnvironment environment() {
		return this.environment;
	}

	final Hello.Builder newHello(long epoch) {
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
		this.timeoutTask = context.executor()
			.schedule(() -> reject(context, "no handshake in time"), milliseconds, TimeUnit.MILLISECONDS);
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		this.timeoutTask.cancel(false);
	}

	@Override
	protected final void channelRead0(ChannelHandlerContext context, Frame frame) {
		if (!frame.hasHello() || frame.getHello().getProtocolVersion() < 1
				|| frame.getHello().getChallenge().size() != CHALLENGE_BYTES) {
			reject(context, "not a valid hello");
			return;
		}
		helloReceived(context, frame.getHello());
	}

	abstract void helloReceived(ChannelHandlerContext context, Hello hello);

	abstract void onFailure(String reason);

	final void reject(ChannelHandlerContext context, String reason) {
		logger.debugf("event=link-rejected peer=%s reason=\"%s\"", context.channel().remoteAddress(), reason);
		onFailure(reason);
		context.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		onFailure("connection closed");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		reject(context, cause.toString());
	}

}
