package org.wasabicart.node.link;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.ChannelHandlerContext;

import org.wasabicart.wire.generated.link.Hello;

/**
 * Handshake of the side that opened the connection.
 */
final class ClientHandshake extends Handshake {

	private final CompletableFuture<ClientLink> result;

	private Hello own;

	ClientHandshake(LinkEnvironment environment, CompletableFuture<ClientLink> result) {
		super(environment);
		this.result = result;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.own = hello(environment().random().nextLong()).build();
		send(context, this.own);
	}

	@Override
	void received(ChannelHandlerContext context, Hello hello) {
		boolean valid = hello.getEpoch() == this.own.getEpoch()
				&& environment().key().verify(LinkRole.SERVER, hello, this.own.getChallenge());
		if (!valid) {
			reject(context, "proof of the shared key is wrong");
			return;
		}
		send(context,
				this.own.toBuilder()
					.setProof(environment().key().prove(LinkRole.CLIENT, this.own, hello.getChallenge()))
					.build());
		ClientLink link = new ClientLink(environment(), context.channel(), this.own.getEpoch());
		LinkPipeline.established(context.pipeline(), link, environment().limits());
		this.result.complete(link);
	}

	@Override
	void failed(String reason) {
		this.result.completeExceptionally(new IOException("Link could not be opened: " + reason));
	}

}
