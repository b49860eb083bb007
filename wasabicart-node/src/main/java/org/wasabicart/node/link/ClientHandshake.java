package org.wasabicart.node.link;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.ChannelHandlerContext;

import org.wasabicart.wire.generated.link.Hello;

/**
 * Client side of the handshake.
 */
final class ClientHandshake extends Handshake {

	private final CompletableFuture<ClientLink> result;

	private Hello ownHello;

	ClientHandshake(LinkEnvironment environment, CompletableFuture<ClientLink> result) {
		super(environment);
		this.result = result;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.ownHello = newHello(environment().random().nextLong()).build();
		send(context, this.ownHello);
	}

	@Override
	void helloReceived(ChannelHandlerContext context, Hello hello) {
		boolean valid = hello.getEpoch() == this.ownHello.getEpoch()
				&& environment().key().verify(LinkRole.SERVER, hello, this.ownHello.getChallenge());
		if (!valid) {
			reject(context, "proof of the shared key is wrong");
			return;
		}
		send(context,
				this.ownHello.toBuilder()
					.setProof(environment().key().prove(LinkRole.CLIENT, this.ownHello, hello.getChallenge()))
					.build());
		ClientLink link = new ClientLink(environment(), context.channel(), this.ownHello.getEpoch());
		LinkPipeline.installLink(context.pipeline(), link, environment().limits());
		this.result.complete(link);
	}

	@Override
	void onFailure(String reason) {
		this.result.completeExceptionally(new IOException("Link could not be opened: " + reason));
	}

}
