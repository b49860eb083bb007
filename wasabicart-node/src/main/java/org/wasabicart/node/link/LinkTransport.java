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
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.ControlHandler;
import org.wasabicart.node.peer.PeerCall;
import org.wasabicart.node.peer.PeerCallListener;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Calls and control requests between nodes over TCP. Handlers and listeners are invoked
 * on the event loops and must not block.
 * <p>
 * Example: <pre>
 * LinkTransport transport = new LinkTransport(identity, listenAddress, key, LinkLimits.DEFAULT,
 *         System::nanoTime, new SecureRandom());
 * transport.start(callHandler, controlHandler);
 * </pre>
 */
public final class LinkTransport implements PeerTransport, AutoCloseable {

	private static final int EVENT_LOOPS = 2;

	private static final int BACKLOG = 1024;

	/**
	 * Bytes that wait in front of a small frame on one link: 30 Mbit/s carry the Netty
	 * and the socket buffer in less than 100 ms.
	 */
	private static final int SEND_BUFFER_BYTES = 128 * 1024;

	private static final WriteBufferWaterMark WRITE_BUFFER = new WriteBufferWaterMark(32 * 1024, 64 * 1024);

	private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

	private final LinkEnvironment environment;

	private final InetSocketAddress listenAddress;

	private final EventLoopGroup eventLoops;

	private final ChannelGroup inbound = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final Map<NodeAddress, PeerLinks> peers = new ConcurrentHashMap<>();

	private Channel listener;

	/**
	 * Creates a transport that does not listen yet, and can send.
	 * @param identity the node itself
	 * @param listenAddress address to listen on; outgoing connections are bound to its IP
	 * @param sharedKey the deployment's shared key
	 * @param limits sizes and times
	 * @param ticker monotonic time
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
		this.eventLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, new DefaultThreadFactory("link", true),
				NioIoHandler.newFactory());
	}

	/**
	 * Starts to listen.
	 * @param callHandler serves calls
	 * @param controlHandler serves control requests
	 * @return the address with the port that was bound
	 * @throws IOException if the address cannot be bound
	 */
	public InetSocketAddress start(CallHandler callHandler, ControlHandler controlHandler) throws IOException {
		Objects.requireNonNull(callHandler, "callHandler");
		Objects.requireNonNull(controlHandler, "controlHandler");
		ChannelFuture bound = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					accepted(channel, new ServerHandshake(LinkTransport.this.environment, callHandler, controlHandler));
				}
			})
			.bind(this.listenAddress)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("Cannot listen for links on " + this.listenAddress, bound.cause());
		}
		this.listener = bound.channel();
		return (InetSocketAddress) this.listener.localAddress();
	}

	private void accepted(Channel channel, ServerHandshake handshake) {
		if (this.inbound.size() >= this.environment.limits().maximumInboundLinks()) {
			channel.close();
			return;
		}
		this.inbound.add(channel);
		LinkPipeline.initialize(channel.pipeline(), handshake);
	}

	@Override
	public PeerCall send(NodeAddress address, CallRequest request, PeerCallListener callListener) {
		Objects.requireNonNull(callListener, "callListener");
		CallStream stream = new CallStream(request, callListener);
		PeerLinks links = links(address);
		links.send(stream, request.context().remainingNanoseconds(this.environment.ticker().nanoseconds()));
		return () -> links.cancel(stream);
	}

	@Override
	public CompletableFuture<ControlResponse> ask(NodeAddress address, ControlRequest request, Duration timeout) {
		ControlStream stream = new ControlStream(request);
		links(address).send(stream, timeout.toNanos());
		return stream.result();
	}

	private PeerLinks links(NodeAddress address) {
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
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					LinkPipeline.initialize(channel.pipeline(),
							new ClientHandshake(LinkTransport.this.environment, result));
				}
			})
			.connect(links.socketAddress())
			.addListener((connected) -> {
				if (!connected.isSuccess()) {
					result.completeExceptionally(connected.cause());
				}
			});
		return result;
	}

	/**
	 * Returns the memory that partly received bodies hold now.
	 * @return number of bytes
	 */
	public long bufferedBytes() {
		return this.environment.buffers().reserved();
	}

	/**
	 * Closes all links. Calls on their way end with the transport's own outcome.
	 */
	@Override
	public void close() {
		if (this.listener != null) {
			this.listener.close().awaitUninterruptibly();
		}
		this.inbound.close().awaitUninterruptibly();
		this.eventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(SHUTDOWN_TIMEOUT.toMillis());
	}

}
