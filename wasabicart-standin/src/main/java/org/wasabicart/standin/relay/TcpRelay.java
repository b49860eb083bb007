package org.wasabicart.standin.relay;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.wasabicart.standin.relay.RelayRules.Endpoint;
import org.wasabicart.standin.relay.RelayRules.Place;

/**
 * Relays TCP connections.
 */
final class TcpRelay {

	private final RelayRules rules;

	private final RelayNetwork network;

	private final EventLoopGroup eventLoops;

	private final ScheduledExecutorService timer;

	private final Set<TcpDirection> openDirections = ConcurrentHashMap.newKeySet();

	TcpRelay(RelayRules rules, RelayNetwork network, EventLoopGroup eventLoops, ScheduledExecutorService timer) {
		this.rules = rules;
		this.network = network;
		this.eventLoops = eventLoops;
		this.timer = timer;
	}

	ChannelFuture listen(Endpoint endpoint) {
		return new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					accept(endpoint, channel);
				}
			})
			.bind(endpoint.advertised());
	}

	private void accept(Endpoint endpoint, SocketChannel source) {
		Optional<Place> from = this.rules.placeOf(source.remoteAddress());
		if (from.isEmpty()) {
			source.close();
			return;
		}
		Bootstrap client = new Bootstrap().group(source.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.AUTO_READ, false)
			.handler(new ChannelInboundHandlerAdapter());
		InetSocketAddress target = endpoint.target();
		client.connect(target).addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				startRelaying(from.get(), endpoint.place(), source, connected.channel());
			}
			else {
				source.close();
			}
		});
	}

	private void startRelaying(Place from, Place to, Channel source, Channel target) {
		// The handshake takes one round trip before data can flow.
		long openNanoseconds = System.nanoTime() + 2 * this.network.delayNanoseconds(from, to);
		TcpDirection request = new TcpDirection(this.network, this.timer, from, to, source, target, openNanoseconds);
		TcpDirection response = new TcpDirection(this.network, this.timer, to, from, target, source, openNanoseconds);
		this.openDirections.addAll(List.of(request, response));
		source.closeFuture().addListener((ignored) -> this.openDirections.remove(request));
		target.closeFuture().addListener((ignored) -> this.openDirections.remove(response));
		source.pipeline().addLast(new DirectionHandler(request));
		target.pipeline().addLast(new DirectionHandler(response));
		source.config().setAutoRead(true);
		target.config().setAutoRead(true);
		source.read();
		target.read();
	}

	/**
	 * Silences the connections that are open now: they stay open, but all further data is
	 * discarded.
	 * @param direction ends of the connections, in either order
	 * @return the number of silenced connections
	 */
	int silence(RelayFaults.Direction direction) {
		RelayFaults.Direction reverse = new RelayFaults.Direction(direction.to(), direction.from());
		int count = 0;
		for (TcpDirection open : this.openDirections) {
			if (open.matches(direction) || open.matches(reverse)) {
				open.silence();
				count++;
			}
		}
		return count / 2;
	}

	int connections() {
		return this.openDirections.size() / 2;
	}

	private static final class DirectionHandler extends ChannelInboundHandlerAdapter {

		private final TcpDirection direction;

		DirectionHandler(TcpDirection direction) {
			this.direction = direction;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.direction.receive((ByteBuf) message);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.direction.receiveEnd();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A reset closes the other side too, as an orderly end of the stream does.
			context.close();
		}

	}

}
