package org.wasabicart.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.CallerLimits;
import org.wasabicart.core.mesh.MeshConfiguration;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.Placement;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.wire.generated.mesh.MeshPing;

/**
 * One mesh node. All methods but {@link #close()} must be called on its event loop.
 */
public final class MeshNode {

	private static final Logger logger = Logger.getLogger(MeshNode.class);

	/** Idle timeouts are seconds. */
	private static final long EXPIRY_INTERVAL = TimeUnit.SECONDS.toNanos(1);

	/** Members change in groups, and a drain holds without them: calls cost more. */
	private static final Duration MEMBER_BATCH = Duration.ofMillis(500);

	/** A configuration is to be in force within two seconds. */
	private static final Duration CONFIGURATION_BATCH = Duration.ofMillis(150);

	/** Resolution of timeouts that are not tied to one request. */
	private static final long TICK_MILLISECONDS = 50;

	/**
	 * Time after a request to stop in which callers still arrive: they notice within two
	 * readiness checks, one a second.
	 */
	private static final long STOP_MINIMUM = TimeUnit.MILLISECONDS.toNanos(2500);

	/**
	 * Part of the grace after which the process ends in any case: ending takes a while.
	 */
	private static final double STOP_SHARE = 5 / 6.0;

	/**
	 * Part of the grace after which new requests are refused, so that they are not cut.
	 */
	private static final double STOP_REFUSE_SHARE = 0.5;

	/** Largest body of a request that is held in memory; shares the VM's memory. */
	private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

	private static final int MAXIMUM_INITIAL_LINE_BYTES = 8 * 1024;

	private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

	private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;

	private final MeshSettings settings;

	private final EventLoop eventLoop;

	private final StoreLayout layout;

	private final ConfigurationDecoder decoder;

	private final MeshStore store;

	private final MeshMetrics metrics;

	private final LocalBackend localBackend;

	private final Peers peers;

	private final Destinations destinations;

	private final EntryLimits limits;

	private final EntryRouter router;

	private final MemberEntryKeeper entryKeeper;

	private final PrefixWatch memberWatch;

	private final PrefixWatch configurationWatch;

	private final Set<EntryConnection> callers = new HashSet<>();

	private long lastExpiry = System.nanoTime();

	private boolean membersKnown;

	private boolean configurationRequested;

	private boolean stopping;

	private long stopStart;

	/**
	 * Creates a node.
	 * @param settings settings
	 * @param names names of header fields
	 * @param layout keys of the store
	 * @param decoder reads configurations
	 * @param store store
	 * @param eventLoop event loop of the node
	 * @param random random source
	 * @param metrics metrics
	 */
	public MeshNode(MeshSettings settings, CallHeaders names, StoreLayout layout, ConfigurationDecoder decoder,
			MeshStore store, EventLoop eventLoop, RandomGenerator random, MeshMetrics metrics) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.layout = Objects.requireNonNull(layout, "layout");
		this.decoder = Objects.requireNonNull(decoder, "decoder");
		this.store = Objects.requireNonNull(store, "store");
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.localBackend = new LocalBackend(settings, names, eventLoop, this::localChanged, this::knownServices);
		this.peers = new Peers(settings.nodeId(),
				new PeerEnvironment(eventLoop, this::ownPing, this::pinged, this::origin));
		this.destinations = new Destinations(this.peers, this.localBackend,
				new Placement(settings.failureDomain(), settings.region(), random));
		this.limits = new EntryLimits(settings.repeats(), random);
		this.router = new EntryRouter(new EntryRequestReader(names, settings.service().value()), eventLoop,
				this.destinations, this.limits, metrics, new DecisionLog());
		this.entryKeeper = new MemberEntryKeeper(store, eventLoop, layout.memberPrefix() + settings.nodeId());
		this.memberWatch = new PrefixWatch(store, eventLoop, layout.memberPrefix(), MEMBER_BATCH, this::allMembers,
				this::changedMembers);
		this.configurationWatch = new PrefixWatch(store, eventLoop, layout.configurationKey(), CONFIGURATION_BATCH,
				this::configurations, this::configurations);
	}

	/**
	 * Starts to listen and to follow the store.
	 * @throws IOException if an address cannot be bound
	 */
	public void start() throws IOException {
		listen(this.settings.entryAddress(), new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				entry(channel);
			}
		});
		listen(this.settings.linkAddress(), new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				FrameCodec.addTo(channel.pipeline());
				channel.pipeline()
					.addLast(new ServerLink(MeshNode.this.localBackend, MeshNode.this::ownPing, MeshNode.this::pinged));
			}
		});
		this.configurationWatch.start();
		this.memberWatch.start();
		this.entryKeeper.start();
		this.eventLoop.scheduleWithFixedDelay(this::tick, TICK_MILLISECONDS, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
		logger.infof("event=node-started node=%s failure_domain=%s region=%s service=%s", this.settings.nodeId(),
				this.settings.failureDomain(), this.settings.region(), this.settings.service());
	}

	private void listen(InetSocketAddress address, ChannelInitializer<Channel> handler) throws IOException {
		ChannelFuture bound = Sockets.listen(this.eventLoop, address, handler).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("Cannot listen on " + address, bound.cause());
		}

	}

	private void entry(Channel channel) {
		channel.pipeline()
			.addLast(new HttpRequestDecoder(MAXIMUM_INITIAL_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES),
					new HttpResponseEncoder(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES),
					new EntryConnection(this.router, () -> this.stopping, this.callers));
	}

	/**
	 * Takes a heartbeat of the local backend server.
	 * @param announcement heartbeat
	 */
	public void announced(BackendAnnouncement announcement) {
		this.localBackend.announced(announcement);
	}

	/**
	 * The local backend server has deregistered.
	 * @param instance id of the server
	 */
	public void deregistered(String instance) {
		this.localBackend.deregistered(instance);
	}

	/**
	 * Returns whether callers should send requests to this node.
	 * @return whether the node is ready
	 */
	public boolean ready() {
		return !this.stopping && this.router.configuration() != null && this.membersKnown;
	}

	/**
	 * Returns the metrics in text form.
	 * @return the metrics
	 */
	public MeshMetrics metrics() {
		return this.metrics;
	}

	private int knownServices() {
		return this.peers.services();
	}

	private void origin(String route, CallOrigin origin) {
		this.limits.origin(route, origin);
	}

	private void localChanged() {
		MeshMember member = this.localBackend.member();
		this.destinations.localMember(member);
		this.entryKeeper.publish((member != null) ? MemberEntries.toEntry(member).toByteArray() : null);
	}

	private MeshPing ownPing() {
		MeshPing.Builder ping = MeshPing.newBuilder().setAcknowledgement(true);
		MeshConfiguration current = this.router.configuration();
		if (current != null) {
			ping.setConfigurationVersion(current.version());
		}
		return ping.build();
	}

	private void pinged(MeshPing ping) {
		MeshConfiguration current = this.router.configuration();
		boolean newer = current == null || Long.compareUnsigned(ping.getConfigurationVersion(), current.version()) > 0;
		if (newer && !this.configurationRequested) {
			this.configurationRequested = true;
			this.store.get(this.layout.configurationKey()).whenComplete((item, failure) -> {
				this.configurationRequested = false;
				if (failure == null) {
					configuration(item);
				}
			});
		}
	}

	private void configurations(MeshStore.StoredItems items) {
		items.items().forEach(this::configuration);
	}

	private void configuration(MeshStore.StoredItem item) {
		if (!item.key().equals(this.layout.configurationKey()) || item.value() == null) {
			return;
		}
		try {
			MeshConfiguration candidate = this.decoder.decode(item.value());
			if (this.router.adopt(candidate)) {
				logger.infof("event=configuration-in-force version=%08x revision=%d routes=%d", candidate.version(),
						item.revision(), candidate.routes().size());
			}
		}
		catch (ConfigurationUnreadableException ex) {
			logger.warnf("event=configuration-unreadable revision=%d reason=\"%s\"", item.revision(), ex.getMessage());
		}
	}

	private void allMembers(MeshStore.StoredItems items) {
		List<MeshMember> members = new ArrayList<>();
		boolean own = false;
		for (MeshStore.StoredItem item : items.items()) {
			MeshMember member = member(item);
			if (member != null) {
				members.add(member);
				own |= member.node().equals(this.settings.nodeId());
			}
		}
		this.peers.announced(members);
		this.membersKnown = true;
		if (!own) {
			this.entryKeeper.missing();
		}
	}

	private void changedMembers(MeshStore.StoredItems items) {
		for (MeshStore.StoredItem item : items.items()) {
			if (item.value() == null) {
				removed(item.key().substring(this.layout.memberPrefix().length()));
				continue;
			}
			MeshMember member = member(item);
			if (member != null) {
				this.peers.announced(member);
			}
		}
	}

	private void removed(String name) {
		if (name.equals(this.settings.nodeId().value())) {
			if (this.localBackend.member() != null) {
				this.entryKeeper.missing();
			}
			return;
		}
		try {
			this.peers.missing(new NodeId(name));
		}
		catch (IllegalArgumentException ex) {
			logger.debugf("event=entry-foreign key=%s", name);
		}
	}

	private MeshMember member(MeshStore.StoredItem item) {
		try {
			return MemberEntries.toMember(item.value());
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			logger.warnf("event=entry-unreadable key=%s revision=%d reason=\"%s\"", item.key(), item.revision(),
					ex.getMessage());
			return null;
		}
	}

	private void tick() {
		long now = System.nanoTime();
		this.localBackend.tick(now);
		this.peers.tick(now, this.memberWatch.reachable());
		if (now - this.lastExpiry > EXPIRY_INTERVAL) {
			this.lastExpiry = now;
			MeshConfiguration current = this.router.configuration();
			CallerLimits limits = (current != null) ? current.limits() : CallerLimits.DEFAULT;
			List.copyOf(this.callers).forEach((caller) -> caller.expire(now, limits.idleTimeout().toNanos()));
		}
	}

	/**
	 * Stops gracefully: takes no more work and waits for what is in progress. Called on a
	 * thread other than the event loop.
	 */
	public void close() {
		logger.infof("event=node-stopping node=%s", this.settings.nodeId());
		this.eventLoop.submit(() -> {
			// A second request to stop does not start the grace again.
			if (!this.stopping) {
				this.stopping = true;
				this.stopStart = System.nanoTime();
				this.localBackend.stop();
			}
		}).awaitUninterruptibly();
		while (!this.eventLoop.submit(this::stopped).awaitUninterruptibly().getNow()) {
			try {
				TimeUnit.MILLISECONDS.sleep(TICK_MILLISECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
		logger.infof("event=node-stopped node=%s", this.settings.nodeId());
	}

	private boolean stopped() {
		long elapsed = System.nanoTime() - this.stopStart;
		long grace = this.settings.grace().toNanos();
		boolean idle = this.router.active() == 0 && this.localBackend.active() == 0;
		boolean ends = elapsed > grace * STOP_SHARE || idle && elapsed > STOP_MINIMUM;
		if (ends || elapsed > grace * STOP_REFUSE_SHARE) {
			this.router.refuseNew();
		}
		return ends;
	}

}
