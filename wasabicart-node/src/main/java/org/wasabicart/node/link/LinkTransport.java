package org.wasabicart.node.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.link.ByteBudget;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.ControlHandler;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Sends and receives calls and control requests between nodes over TCP. Handlers and
 * listeners are invoked on the event loops and must not block.
 * <p>
 * Example: <pre>
 * LinkTransport transport = new LinkTransport(identity, listenAddress, key, LinkLimits.DEFAULT,
 *         System::nanoTime, new SecureRandom());
 * transport.start(callHandler, controlHandler);
 * </pre>
 */
public final class LinkTransport implements PeerTransport, AutoCloseable {

	private static final int EVENT_LOOP_COUNT = 2;

	private static final int ACCEPT_BACKLOG = 1024;

	/**
	 * Bounds the delay of a small frame behind queued data: at 30 Mbit/s, this buffer and
	 * Netty's write buffer drain in less than 100 ms.
	 */
	private static final int SEND_BUFFER_BYTES = 128 * 1024;

	private static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(32 * 1024, 64 * 1024);

	private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

	private final LinkEnvironment environment;

	private final InetSocketAddress listenAddress;

	private final EventLoopGroup eventLoops;

	private final ChannelGroup inboundChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final Map<NodeAddress, PeerLinks> peers = new ConcurrentHashMap<>();

	private Channel listenChannel;

	/**
	 * Creates a transport that can send, and does not listen yet.
	 * @param identity identity of this node
	 * @param listenAddress address to listen on; outgoing connections are bound to its IP
	 * @param sharedKey the deployment's shared key
	 * @param limits size limits and timeouts
	 * @param ticker source of monotonic time
	 * @param random secure random source, safe for use by several threads
	 */
	public LinkTransport(LinkIdentity identity, InetSocketAddress listenAddress, byte[] sharedKey, LinkLimits limits,
			Ticker ticker, RandomGenerator random) {
		Objects.requireNonNull(identity, "identity");
		Objects.requireNonNull(limits, "limits");
		Objects.requireNonNull(ticker, "ticker");
		Objects.requireNonNull(random, "random");
		this.listenAddress = Objects.requireNonNull(listenAddress, "listenAddress");
		this.environment = new LinkEnvironment(identity, new SharedKey(sharedKey), limits, ticker, random,
				new ByteBudget(limits.bufferBytes()));
		this.eventLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOP_COUNT, new DefaultThreadFactory("link", true),
				NioIoHandler.newFactory());
	}

	/**
	 * Starts to listen.
	 * @param callHandler handles calls
	 * @param controlHandler handles control requests
	 * @return the address with the port that was bound
	 * @throws IOException if the address cannot be bound
	 */
	public InetSocketAddress start(CallHandler callHandler, ControlHandler controlHandler) throws IOException {
		Objects.requireNonNull(callHandler, "callHandler");
		Objects.requireNonNull(controlHandler, "controlHandler");
		ChannelFuture bindFuture = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					initializeInbound(channel,
							new ServerHandshake(LinkTransport.this.environment, callHandler, controlHandler));
				}
			})
			.bind(this.listenAddress)
			.awaitUninterruptibly();
		if (!bindFuture.isSuccess()) {
			throw new IOException("Cannot listen for links on " + this.listenAddress, bindFuture.cause());
		}
		this.listenChannel = bindFuture.channel();
		return (InetSocketAddress) this.listenChannel.localAddress();
	}

	private void initializeInbound(Channel channel, ServerHandshake handshake) {
		if (this.inboundChannels.size() >= this.environment.limits().maximumInboundLinks()) {
			channel.close();
			return;
		}
		this.inboundChannels.add(channel);
		LinkPipeline.initialize(channel.pipeline(), handshake);
	}

	@Override
	public CallHandle send(NodeAddress address, CallRequest request, CallListener callListener) {
		Objects.requireNonNull(callListener, "callListener");
		CallStream stream = new CallStream(request, callListener);
		PeerLinks links = linksTo(address);
		links.send(stream, request.context().remainingNanoseconds(this.environment.ticker().nanoseconds()));
		return () -> links.cancel(stream);
	}

	@Override
	public CompletableFuture<ControlResponse> sendControlRequest(NodeAddress address, ControlRequest request,
			Duration timeout) {
		ControlStream stream = new ControlStream(request);
		linksTo(address).send(stream, timeout.toNanos());
		return stream.result();
	}

	private PeerLinks linksTo(NodeAddress address) {
		return this.peers.computeIfAbsent(address, (key) -> new PeerLinks(key, this.eventLoops.next(),
				this.environment.limits().maximumStreams(), this::connect));
	}

	private CompletableFuture<ClientLink> connect(PeerLinks links) {
		CompletableFuture<ClientLink> result = new CompletableFuture<>();
		new Bootstrap().group(links.eventLoop())
			.channel(NioSocketChannel.class)
			.localAddress(new InetSocketAddress(this.listenAddress.getAddress(), 0))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.environment.limits().connectTimeout().toMillis())
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					LinkPipeline.initialize(channel.pipeline(),
							new ClientHandshake(LinkTransport.this.environment, result));
				}
			})
			.connect(links.socketAddress())
			.addListener((connectFuture) -> {
				if (!connectFuture.isSuccess()) {
					result.completeExceptionally(connectFuture.cause());
				}
			});
		return result;
	}

	/**
	 * Returns the memory that is reserved for bodies that are being received.
	 * @return number of bytes
	 */
	public long bufferedBytes() {
		return this.environment.receiveBudget().reserved();
	}

	/**
	 * Closes all links. Calls to peers that are in progress end as {@code Refused}, or as
	 * {@code Failed} if the end of their body was sent. Calls of peers are cancelled.
	 */
	@Override
	public void close() {
		if (this.listenChannel != null) {
			this.listenChannel.close().awaitUninterruptibly();
		}
		this.inboundChannels.close().awaitUninterruptibly();
		this.eventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(SHUTDOWN_TIMEOUT.toMillis());
	}

}
