package org.wasabicart.node.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.membership.MembershipController;
import org.wasabicart.core.membership.MembershipSettings;
import org.wasabicart.core.membership.OutgoingMessage;
import org.wasabicart.core.membership.PeerMessage;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.store.StoreClient;
import org.wasabicart.wire.MembershipCodec;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Runs the membership protocol of the local node over UDP. The runner uses one of the
 * given event loops and does not shut them down.
 * <p>
 * Example: <pre>
 * MembershipRunner membership = new MembershipRunner(settings, group, announcement, listener);
 * membership.start();
 * </pre>
 */
public final class MembershipRunner implements AutoCloseable {

	private static final Logger LOGGER = Logger.getLogger(MembershipRunner.class);

	private static final long CLOSE_TIMEOUT_SECONDS = 2;

	private final MembershipRunnerSettings settings;

	private final EventLoopGroup group;

	private final Supplier<LocalAnnouncement> announcement;

	private final MembershipListener listener;

	private final MembershipCodec codec;

	private final Ticker ticker;

	private MembershipController controller;

	private Optional<ConfigurationDistribution> distribution = Optional.empty();

	private Channel channel;

	private Future<?> tickTask;

	private long reportedViewVersion = -1;

	private long copiedRecordVersion = -1;

	private volatile List<Member> members = List.of();

	/**
	 * Creates a runner. Nothing is sent before {@link #start()}.
	 * @param settings identity and addresses
	 * @param group event loops for NIO
	 * @param announcement supplies the current announcement of the local node; read at
	 * least at each tick
	 * @param listener receives changes of the members
	 */
	public MembershipRunner(MembershipRunnerSettings settings, EventLoopGroup group,
			Supplier<LocalAnnouncement> announcement, MembershipListener listener) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.group = Objects.requireNonNull(group, "group");
		this.announcement = Objects.requireNonNull(announcement, "announcement");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.codec = new MembershipCodec(settings.sharedKey());
		this.ticker = System::nanoTime;
	}

	/**
	 * Enables the distribution of the configuration. Must be called before
	 * {@link #start()}.
	 * @param store store, if the node has one
	 * @param transport transport to peers
	 * @param sink puts configurations in force
	 */
	public void enableDistribution(Optional<StoreClient> store, PeerTransport transport, ConfigurationSink sink) {
		this.distribution = Optional.of(new ConfigurationDistribution(localMember(), store, transport, sink,
				this::setContacts, this.ticker, RandomGenerator.getDefault(), this::execute));
	}

	/**
	 * Answers a request of a peer for a newer configuration. Safe for use by several
	 * threads.
	 * @param request request with the revision of the peer
	 * @return the configuration, or an empty response if there is nothing newer
	 */
	public ControlResponse answer(ControlRequest request) {
		return this.distribution.map((current) -> current.answer(request))
			.orElseGet(ControlResponse::getDefaultInstance);
	}

	/**
	 * Binds the listen address and joins the deployment.
	 * @throws io.netty.channel.ChannelException if the address cannot be bound
	 */
	public void start() {
		this.controller = new MembershipController(MembershipSettings.defaults(), localMember(), this.settings.seeds(),
				this.ticker, RandomGenerator.getDefault());
		this.members = List.copyOf(this.controller.members());
		NodeAddress listen = this.settings.listenAddress();
		this.channel = new Bootstrap().group(this.group)
			.channel(NioDatagramChannel.class)
			.handler(new DatagramHandler())
			.bind(new InetSocketAddress(listen.host(), listen.port()))
			.syncUninterruptibly()
			.channel();
		long interval = MembershipController.tickInterval().toNanos();
		this.tickTask = eventLoop().scheduleWithFixedDelay(this::tick, 0, interval, TimeUnit.NANOSECONDS);
	}

	/**
	 * Returns the known members with their latest known revisions. Safe for use by
	 * several threads.
	 * @return members, including the local node; immutable
	 */
	public Collection<Member> members() {
		return this.members;
	}

	/**
	 * Disseminates a changed announcement without waiting for the next tick.
	 */
	public void announcementChanged() {
		eventLoop().execute(this::tick);
	}

	/**
	 * Replaces the contact addresses, through which the node joins in addition to its
	 * seeds.
	 * @param contacts advertised addresses of contact nodes
	 */
	public void setContacts(Collection<NodeAddress> contacts) {
		List<NodeAddress> addresses = new ArrayList<>(this.settings.seeds());
		addresses.addAll(contacts);
		eventLoop().execute(() -> this.controller.setContacts(addresses));
	}

	/**
	 * Leaves the deployment and closes the channel. The wait for this is bounded.
	 */
	@Override
	public void close() {
		if (this.channel == null) {
			return;
		}
		CompletableFuture<Void> done = new CompletableFuture<>();
		eventLoop().execute(() -> {
			this.tickTask.cancel(false);
			this.distribution.ifPresent(ConfigurationDistribution::close);
			send(this.controller.leave());
			this.channel.close().addListener((closed) -> done.complete(null));
		});
		try {
			done.get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			LOGGER.warnf("event=membership-close-incomplete node=%s", this.settings.nodeId());
		}
	}

	// Store calls can complete after the event loops were shut down.
	private void execute(Runnable task) {
		try {
			eventLoop().execute(task);
		}
		catch (RejectedExecutionException ex) {
			LOGGER.debugf("event=membership-stopped node=%s", this.settings.nodeId());
		}
	}

	private EventLoop eventLoop() {
		return this.channel.eventLoop();
	}

	private Member localMember() {
		LocalAnnouncement current = this.announcement.get();
		return new Member(this.settings.nodeId(), this.settings.instance(), current.service(),
				this.settings.failureDomain(), this.settings.region(), this.settings.advertisedAddress(),
				current.state(), current.slots(), current.revision());
	}

	// An uncaught exception would cancel the periodic task, and peers would remove the
	// node.
	private void tick() {
		try {
			this.controller.announce(localMember());
			send(this.controller.tick());
			updateMembers();
			this.distribution.ifPresent((current) -> current.tick(this.members));
		}
		catch (RuntimeException ex) {
			LOGGER.errorf(ex, "event=membership-tick-failed node=%s", this.settings.nodeId());
		}
	}

	private void received(PeerMessage message) {
		send(this.controller.received(message));
		if (message.sender().revision().compareTo(this.announcement.get().revision()) > 0) {
			this.distribution.ifPresent(
					(current) -> current.recordNewerRevision(message.sender().address(), message.sender().revision()));
		}
		updateMembers();
	}

	private void updateMembers() {
		if (this.controller.recordVersion() == this.copiedRecordVersion) {
			return;
		}
		this.copiedRecordVersion = this.controller.recordVersion();
		List<Member> current = List.copyOf(this.controller.members());
		this.members = current;
		if (this.controller.viewVersion() != this.reportedViewVersion) {
			this.reportedViewVersion = this.controller.viewVersion();
			this.listener.viewChanged(current);
		}
	}

	private void send(List<OutgoingMessage> messages) {
		for (OutgoingMessage outgoing : messages) {
			NodeAddress destination = outgoing.destination();
			ByteBuf content = Unpooled.wrappedBuffer(this.codec.encode(outgoing.message()));
			this.channel
				.write(new DatagramPacket(content, new InetSocketAddress(destination.host(), destination.port())));
		}
		this.channel.flush();
	}

	private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			Optional<PeerMessage> message = MembershipRunner.this.codec.decode(ByteBufUtil.getBytes(packet.content()));
			message.ifPresent(MembershipRunner.this::received);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LOGGER.debugf(cause, "event=membership-datagram-failed");
		}

	}

}
