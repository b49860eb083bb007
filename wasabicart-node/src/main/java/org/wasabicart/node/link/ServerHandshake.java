package org.wasabicart.node.link;

import io.netty.channel.ChannelHandlerContext;

import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.ControlHandler;
import org.wasabicart.wire.generated.link.Hello;

/**
 * Handshake of the side that accepted the connection.
 */
final class ServerHandshake extends Handshake {

	private final CallHandler callHandler;

	private final ControlHandler controlHandler;

	private Hello first;

	private Hello own;

	ServerHandshake(LinkEnvironment environment, CallHandler callHandler, ControlHandler controlHandler) {
		super(environment);
		this.callHandler = callHandler;
		this.controlHandler = controlHandler;
	}

	@Override
	void received(ChannelHandlerContext context, Hello hello) {
		if (this.first == null) {
			answer(context, hello);
			return;
		}
		boolean same = hello.getEpoch() == this.first.getEpoch()
				&& hello.getChallenge().equals(this.first.getChallenge());
		if (!same || !environment().key().verify(LinkRole.CLIENT, hello, this.own.getChallenge())) {
			reject(context, "proof of the shared key is wrong");
			return;
		}
		ServerLink link = new ServerLink(environment(), context.channel(), hello.getEpoch(), this.callHandler,
				this.controlHandler);
		LinkPipeline.established(context.pipeline(), link, environment().limits());
	}

	private void answer(ChannelHandlerContext context, Hello hello) {
		this.first = hello;
		Hello unproved = hello(hello.getEpoch()).build();
		this.own = unproved.toBuilder()
			.setProof(environment().key().prove(LinkRole.SERVER, unproved, hello.getChallenge()))
			.build();
		send(context, this.own);
	}

	@Override
	void failed(String reason) {
		// The opener learns of it by the closed connection.
	}

}
