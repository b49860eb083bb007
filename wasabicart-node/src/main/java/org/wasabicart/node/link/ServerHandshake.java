package org.wasabicart.node.link;

import io.netty.channel.ChannelHandlerContext;

import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.ControlHandler;
import org.wasabicart.wire.generated.link.Hello;

/**
 * Server side of the handshake.
 */
final class ServerHandshake extends Handshake {

	private final CallHandler callHandler;

	private final ControlHandler controlHandler;

	private Hello clientHello;

	private Hello ownHello;

	ServerHandshake(LinkEnvironment environment, CallHandler callHandler, ControlHandler controlHandler) {
		super(environment);
		this.callHandler = callHandler;
		this.controlHandler = controlHandler;
	}

	@Override
	void helloReceived(ChannelHandlerContext context, Hello hello) {
		if (this.clientHello == null) {
			respond(context, hello);
			return;
		}
		boolean sameClient = hello.getEpoch() == this.clientHello.getEpoch()
				&& hello.getChallenge().equals(this.clientHello.getChallenge());
		if (!sameClient || !environment().key().verify(LinkRole.CLIENT, hello, this.ownHello.getChallenge())) {
			reject(context, "proof of the shared key is wrong");
			return;
		}
		ServerLink link = new ServerLink(environment(), context.channel(), hello.getEpoch(), this.callHandler,
				this.controlHandler);
		LinkPipeline.installLink(context.pipeline(), link, environment().limits());
	}

	private void respond(ChannelHandlerContext context, Hello hello) {
		this.clientHello = hello;
		Hello helloWithoutProof = newHello(hello.getEpoch()).build();
		this.ownHello = helloWithoutProof.toBuilder()
			.setProof(environment().key().prove(LinkRole.SERVER, helloWithoutProof, hello.getChallenge()))
			.build();
		send(context, this.ownHello);
	}

	@Override
	void onFailure(String reason) {
		// The client sees that the connection is closed.
	}

}
