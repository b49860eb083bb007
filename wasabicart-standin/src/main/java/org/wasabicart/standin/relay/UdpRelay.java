package org.wasabicart.standin.relay;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import org.wasabicart.standin.relay.RelayRules.Endpoint;
import org.wasabicart.standin.relay.RelayRules.Place;

/**
 * Relays datagrams. A reply goes to the advertised address that the datagram carries, so
 * the relay keeps no state between datagrams.
 */
final class UdpRelay {

	private final RelayRules rules;

	private final RelayNetwork network;

	private final EventLoopGroup eventLoops;

	private final ScheduledExecutorService timer;

	UdpRelay(RelayRules rules, RelayNetwork network, EventLoopGroup eventLoops, ScheduledExecutorService timer) {
		this.rules = rules;
		this.network = network;
		this.eventLoops = eventLoops;
		this.timer = timer;
	}

	ChannelFuture listen(Endpoint endpoint) {
		return new Bootstrap().group(this.eventLoops)
			.channel(NioDatagramChannel.class)
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {
				@Override
				protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
					UdpRelay.this.rules.placeOf(packet.sender())
						.ifPresent((from) -> relay(context.channel(), from, endpoint, packet.content()));
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
					// The port of a process that is down is closed; datagrams to it are
					// lost.
				}
			})
			.bind(endpoint.advertised());
	}

	private void relay(Channel channel, Place from, Endpoint endpoint, ByteBuf content) {
		long now = System.nanoTime();
		long arrival = this.network.arrivalOfDatagram(now, from, endpoint.place(), content.readableBytes());
		if (arrival == -1) {
			return;
		}
		DatagramPacket packet = new DatagramPacket(content.retain(), endpoint.target());
		if (arrival <= now) {
			channel.writeAndFlush(packet);
		}
		else {
			this.timer.schedule(() -> channel.writeAndFlush(packet), arrival - now, TimeUnit.NANOSECONDS);
		}
	}

}
