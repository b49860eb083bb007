package org.wasabicart.mesh;

import java.net.InetSocketAddress;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/**
 * Opens sockets with the options that all connections of a node share. On outgoing
 * connections, TCP keep-alive probes detect a peer that disappeared without a reset.
 */
public final class Sockets {

	/**
	 * Idle time before the first keep-alive probe, in seconds; the smallest allowed
	 * value.
	 */
	private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

	/** Interval between keep-alive probes, in seconds; the smallest allowed value. */
	private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

	/** Unanswered probes after which a connection is closed; one may be lost. */
	private static final int KEEP_ALIVE_PROBES = 2;

	/** Size of the accept queue; after a restart, all callers connect simultaneously. */
	private static final int ACCEPT_QUEUE_SIZE = 1024;

	/** Size of a read buffer; most messages fit and are read with one system call. */
	private static final int READ_BUFFER_BYTES = 16 * 1024;

	private Sockets() {
	}

	/**
	 * Starts to listen on an address.
	 * @param eventLoop event loop of the listener and its connections
	 * @param address address
	 * @param handler initializes each connection
	 * @return the future of the bind, which may fail
	 */
	public static ChannelFuture listen(EventLoop eventLoop, InetSocketAddress address, ChannelHandler handler) {
		return new ServerBootstrap().group(eventLoop, eventLoop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_SIZE)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BUFFER_BYTES))
			.childHandler(handler)
			.bind(address);
	}

	/**
	 * Opens a connection.
	 * @param eventLoop event loop of the connection
	 * @param address address
	 * @param timeoutMilliseconds maximum time to establish the connection
	 * @param handler initializes the connection
	 * @return the future of the connection attempt, which may fail
	 */
	public static ChannelFuture connect(EventLoop eventLoop, InetSocketAddress address, int timeoutMilliseconds,
			ChannelHandler handler) {
		return new Bootstrap().group(eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMilliseconds)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BUFFER_BYTES))
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
			.handler(handler)
			.connect(address);
	}

}
