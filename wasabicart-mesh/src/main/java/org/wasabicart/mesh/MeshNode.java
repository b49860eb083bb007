package org.wasabicart.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;

import org.wasabicart.core.capacity.CompletionPlacement;
import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.CallerLimits;
import org.wasabicart.core.mesh.HeartbeatOutcome;
import org.wasabicart.core.mesh.IncarnationRecords;
import org.wasabicart.core.mesh.MeshConfiguration;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.PauseDetector;
import org.wasabicart.core.mesh.Placement;
import org.wasabicart.core.mesh.ServerChoice;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.overload.OverloadSignals;
import org.wasabicart.mesh.allotment.FleetAllotments;
import org.wasabicart.mesh.allotment.FleetSizeRecord;
import org.wasabicart.mesh.capacity.CapacityTracker;
import org.wasabicart.mesh.capacity.ServerCapacityMode;
import org.wasabicart.mesh.workspace.WorkspaceAccess;
import org.wasabicart.wire.generated.mesh.MeshPing;

/**
 * One mesh node. {@link #start()} and {@link #close()} block and must be called on a
 * thread other than its event loop, all other methods on the event loop.
 */
public final class MeshNode {

	private static final Logger logger = Logger.getLogger(MeshNode.class);

	/** Interval of the check for idle connections: idle timeouts are seconds long. */
	private static final long IDLE_CHECK_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Delay that collects membership changes, which come in groups, to save store calls.
	 * The node of a draining server refuses calls itself, without this information, and a
	 * new server may take work two seconds after its entry.
	 */
	private static final Duration MEMBER_BATCH_DELAY = Duration.ofSeconds(1);

	/** Delay that collects changes, each of which must take effect within two seconds. */
	private static final Duration CONFIGURATION_BATCH_DELAY = Duration.ofMillis(150);

	/**
	 * Time in which the watch delivers a version that other nodes have. Each change is
	 * reported by many nodes, and reading it at once would add a call for each change and
	 * node.
	 */
	private static final long WATCH_DELAY_MILLISECONDS = 300;

	/** Version in the ping of a node that has no configuration. */
	private static final long NO_VERSION = 0;

	/** Interval of the checks for timeouts that have no timer of their own. */
	private static final long TICK_MILLISECONDS = 50;

	/**
	 * Shortest time to stop: callers notice that the node is not ready within two
	 * readiness checks, which run once a second, and send requests until then.
	 */
	private static final long MINIMUM_STOP_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2500);

	/**
	 * Longest time between two checks of a stopping node after which its event loop
	 * counts as responsive. Requests that are cut off have waited for at most this time.
	 */
	private static final long MAXIMUM_STOP_CHECK_GAP_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

	/**
	 * Share of the grace period after which the node stops in any case, which leaves time
	 * for the process to exit.
	 */
	private static final double STOP_GRACE_SHARE = 5 / 6.0;

	/**
	 * Time between the last response that is waited for and the end of the node, in which
	 * the response reaches the caller.
	 */
	private static final long STOP_MARGIN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(150);

	/**
	 * Share of the grace period after which new requests are refused, so that none is cut
	 * off when the node stops.
	 */
	private static final double REFUSAL_GRACE_SHARE = 0.5;

	/**
	 * Interval at which another node is asked for its configuration version while the
	 * store cannot be reached. Several intervals fit into the time in which a change must
	 * take effect.
	 */
	private static final long VERSION_CHECK_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Bodies are held in memory, which the node shares with a backend server. */
	private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

	/**
	 * Share of the heap for what is held for callers, servers and other nodes. A body
	 * exists twice for a moment when it is passed on, and the rest of the node needs
	 * memory as well.
	 */
	private static final double HELD_MEMORY_SHARE = 0.35;

	private final MeshSettings settings;

	private final EventLoop eventLoop;

	private final StoreKeys storeKeys;

	private final ConfigurationDecoder decoder;

	private final ProbedStore probedStore;

	private final MeshStore store;

	private final MeshMetrics metrics;

	private final LocalBackend localBackend;

	private final Peers peers;

	private final Destinations destinations;

	private final FleetAllotments allotments;

	private final AllotmentTask allotmentTask;

	private final FleetSizeRecord fleetSizeRecord;

	private final EntryLimits limits;

	private final EntryRouter router;

	private final EarlyRepeats earlyRepeats;

	private final MemberEntryPublisher entryPublisher;

	private final MemberEntryReader entryReader;

	private final PrefixWatch memberWatch;

	private final PrefixWatch configurationWatch;

	private final List<Channel> listeners = new ArrayList<>();

	private final ConfigurationCatchUp configurationCatchUp;

	private final NodeCalls nodeCalls;

	private final PauseDetector pauseDetector = new PauseDetector();

	private final Set<ServerLink> serverLinks = new HashSet<>();

	private final CallerConnections callerConnections;

	private final EntryRejections rejections;

	private final RandomGenerator random;

	private final HeldMemory memory;

	private final OverloadSignals signals;

	private long lastIdleCheck = System.nanoTime();

	private long lastVersionCheck = System.nanoTime();

	private boolean membersListed;

	private byte[] configurationValue;

	private boolean stopping;

	private long stopStart;

	private boolean stopFinished;

	private long lastStopCheck;

	/**
	 * Creates a node.
	 * @param settings settings
	 * @param names names of header fields
	 * @param storeKeys keys in the store
	 * @param decoder decodes configurations
	 * @param store store
	 * @param eventLoop event loop of the node
	 * @param random random source
	 * @param metrics metrics
	 */
	public MeshNode(MeshSettings settings, HeaderNames names, StoreKeys storeKeys, ConfigurationDecoder decoder,
			MeshStore store, EventLoop eventLoop, RandomGenerator random, MeshMetrics metrics) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.storeKeys = Objects.requireNonNull(storeKeys, "storeKeys");
		this.decoder = Objects.requireNonNull(decoder, "decoder");
		this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
		this.probedStore = new ProbedStore(store, eventLoop, random);
		this.store = new EraCheckedStore(this.probedStore, this::storeEraStarted);
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.random = Objects.requireNonNull(random, "random");
		this.memory = new HeldMemory((long) (Runtime.getRuntime().maxMemory() * HELD_MEMORY_SHARE), eventLoop);
		this.rejections = new EntryRejections(metrics, new DecisionLog());
		this.callerConnections = new CallerConnections(settings.entryBounds().connections(), this.rejections);
		IncarnationRecords incarnationRecords = new IncarnationRecords();
		this.signals = settings.admission().createSignals(settings.service(), settings.nodeId());
		DecisionLog decisions = new DecisionLog();
		CapacityTracker capacity = new CapacityTracker(settings.serverCapacity(), this::typicalTime,
				new CapacityReporter(metrics, decisions, this::reportLoad));
		this.localBackend = new LocalBackend(settings, names, eventLoop, this::publishLocalServer, this::knownServices,
				new BackendTrafficLog(metrics), incarnationRecords, this.memory, capacity, this.signals);
		this.allotments = new FleetAllotments(settings.nodeId(), this::fleetLinks, random, System::nanoTime);
		this.peers = new Peers(settings.nodeId(), new PeerEnvironment(eventLoop, this::ownPing, this::handlePeerPing,
				this::recordOrigin, incarnationRecords, this.memory, this.signals, this.allotments::granted));
		this.destinations = new Destinations(this.peers, this.localBackend, choice(settings, random),
				incarnationRecords, settings.serverCapacity());
		this.limits = new EntryLimits(settings.repeats(), random, this.signals);
		this.earlyRepeats = new EarlyRepeats(settings.repeats().early(), this.destinations::send,
				this.destinations::farBeyondExpected);
		this.router = new EntryRouter(new EntryRequestReader(names, settings.service().value(), settings.gateOrder()),
				new WorkspaceAccess(names.authorization(), names.keyScheme()), eventLoop, this.destinations,
				this.limits, this.earlyRepeats, metrics, decisions, this::receiveDelay, this.memory, capacity,
				this.allotments);
		this.allotmentTask = new AllotmentTask(this.allotments, eventLoop, metrics);
		this.fleetSizeRecord = new FleetSizeRecord(this.store, storeKeys.memberPrefix(), this.allotments,
				System::nanoTime);
		this.entryPublisher = new MemberEntryPublisher(this.store, eventLoop,
				storeKeys.memberPrefix() + settings.nodeId());
		this.configurationCatchUp = new ConfigurationCatchUp(this::isNewer, this::awaitWatch,
				this::readStoredConfiguration, this::applyConfigurationOfPeer, this.peers::pingAll);
		this.nodeCalls = new NodeCalls(() -> this.configurationValue, this.localBackend::restore);
		this.entryReader = new MemberEntryReader(storeKeys.memberPrefix());
		this.memberWatch = new PrefixWatch(this.store, eventLoop, storeKeys.memberPrefix(), MEMBER_BATCH_DELAY,
				this::replaceMembers, this::applyMemberChanges);
		this.configurationWatch = new PrefixWatch(this.store, eventLoop, storeKeys.configurationKey(),
				CONFIGURATION_BATCH_DELAY, this::applyConfigurations, this::applyConfigurations);
	}

	private static ServerChoice choice(MeshSettings settings, RandomGenerator random) {
		return (settings.serverCapacity() == ServerCapacityMode.LEARNED)
				? new CompletionPlacement(settings.failureDomain(), settings.region(), random)
				: new Placement(settings.failureDomain(), settings.region(), random);
	}

	private double typicalTime() {
		return this.destinations.typicalTime(this.settings.service(), System.nanoTime());
	}

	private void reportLoad() {
		List.copyOf(this.serverLinks).forEach((link) -> link.reportLoad(this.settings.region().value()));
	}

	/**
	 * Starts to listen for connections and to watch the store.
	 * @throws IOException if an address cannot be bound
	 */
	public void start() throws IOException {
		listen(this.settings.entryAddress(), new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				initializeEntryChannel(channel);
			}
		});
		listen(this.settings.linkAddress(), new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				FrameCodec.addTo(channel.pipeline(), MeshNode.this.memory);
				channel.pipeline()
					.addLast(new ServerLink(MeshNode.this.localBackend, MeshNode.this.nodeCalls, MeshNode.this::ownPing,
							MeshNode.this::handlePing, MeshNode.this.serverLinks, MeshNode.this::receiveDelay,
							MeshNode.this.signals, MeshNode.this.allotments));
			}
		});
		this.configurationWatch.start();
		this.memberWatch.start();
		this.entryPublisher.start();
		this.eventLoop.scheduleWithFixedDelay(new GuardedTask("tick", this::tick), TICK_MILLISECONDS, TICK_MILLISECONDS,
				TimeUnit.MILLISECONDS);
		logger.infof("event=node-started node=%s failure_domain=%s region=%s service=%s", this.settings.nodeId(),
				this.settings.failureDomain(), this.settings.region(), this.settings.service());
	}

	private void listen(InetSocketAddress address, ChannelInitializer<Channel> handler) throws IOException {
		ChannelFuture bound = Sockets.listen(this.eventLoop, address, handler).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("Cannot listen on " + address, bound.cause());
		}
		this.listeners.add(bound.channel());
	}

	/**
	 * Stops listening, for tests that end a node without ending its process.
	 */
	void closeListeners() {
		this.listeners.forEach((listener) -> listener.close().awaitUninterruptibly());
	}

	private void initializeEntryChannel(Channel channel) {
		if (!this.callerConnections.admits()) {
			this.rejections.rejected("connections", channel.remoteAddress());
			channel.close();
			return;
		}
		PacedWriteHandler writer = new PacedWriteHandler(this.memory, HeldMemory.Kind.UNREAD);
		EntryRequestDecoder requestDecoder = new EntryRequestDecoder(this::callerLimits, this.settings.entryBounds(),
				this.memory);
		EntryConnection connection = new EntryConnection(this.router, () -> this.stopping, this.callerConnections,
				this.memory, writer, requestDecoder, this.rejections);
		channel.pipeline()
			.addLast(writer, requestDecoder,
					new EntryRequestCollector(MAXIMUM_BODY_BYTES, this.memory, connection::hasUnwrittenResponses),
					connection);
	}

	private CallerLimits callerLimits() {
		MeshConfiguration current = this.router.configuration();
		return (current != null) ? current.limits() : CallerLimits.DEFAULT;
	}

	/**
	 * Processes a heartbeat of the local backend server.
	 * @param announcement heartbeat
	 * @return how it compares with the heartbeats before it
	 */
	public HeartbeatOutcome handleHeartbeat(BackendAnnouncement announcement) {
		return this.localBackend.handleHeartbeat(announcement);
	}

	/**
	 * Processes the deregistration of the local backend server.
	 * @param instance id of the server
	 */
	public void handleDeregistration(String instance) {
		this.localBackend.handleDeregistration(instance, System.currentTimeMillis());
	}

	/**
	 * Returns whether callers should send requests to this node.
	 * @return whether the node is ready
	 */
	public boolean ready() {
		return !this.stopping && this.router.configuration() != null && this.membersListed;
	}

	/**
	 * Returns the metrics of the node.
	 * @return the metrics
	 */
	public MeshMetrics metrics() {
		return this.metrics;
	}

	private Collection<Peer> fleetLinks() {
		return this.peers.all();
	}

	int knownServices() {
		return this.peers.serviceCount();
	}

	private void recordOrigin(String route, CallOrigin origin) {
		this.limits.recordOrigin(route, origin);
	}

	private void publishLocalServer() {
		MeshMember member = this.localBackend.member();
		this.destinations.localMember(member);
		// The entry of an earlier run of this process says whether the server is leaving,
		// so it must be read first.
		if (this.membersListed) {
			this.entryPublisher.publish((member != null) ? MemberEntries.toEntry(member).toByteArray() : null);
		}
	}

	private MeshPing ownPing() {
		MeshPing.Builder ping = MeshPing.newBuilder()
			.setAcknowledgement(true)
			.setStopping(this.stopping)
			.setStoreAway(this.probedStore.away());
		if (this.settings.serverCapacity() == ServerCapacityMode.LEARNED) {
			ping.setRegion(this.settings.region().value());
		}
		MeshConfiguration current = this.router.configuration();
		if (current != null) {
			ping.setConfigurationVersion(current.version());
		}
		return ping.build();
	}

	private void handlePing(MeshPing ping) {
		// A node cannot be read on a link that it has opened.
		this.configurationCatchUp.versionReported(ping.getConfigurationVersion());
	}

	private void handlePeerPing(MeshPing ping, ConfigurationSource source) {
		this.configurationCatchUp.versionReported(ping.getConfigurationVersion(), source);
	}

	private boolean isNewer(long version) {
		MeshConfiguration current = this.router.configuration();
		return version != NO_VERSION && (current == null || Long.compareUnsigned(version, current.version()) > 0);
	}

	private void awaitWatch(Runnable task) {
		long delay = this.configurationWatch.reachable() ? WATCH_DELAY_MILLISECONDS : 0;
		this.eventLoop.schedule(task, delay, TimeUnit.MILLISECONDS);
	}

	private void readStoredConfiguration(Runnable end) {
		if (!this.configurationWatch.reachable()) {
			end.run();
			return;
		}
		this.store.get(this.storeKeys.configurationKey()).whenComplete((item, failure) -> {
			if (failure == null) {
				applyConfiguration(item);
			}
			end.run();
		});
	}

	private void storeEraStarted(StoreEra era, boolean restored) {
		logger.infof("event=store-era era=%s restored=%s", era, restored);
		this.metrics.recordStoreEra(era.number());
		if (restored) {
			this.entryPublisher.storeRestored();
			this.peers.storeRestored(System.nanoTime());
			// The store may lack a configuration that some nodes have.
			this.peers.pingAll();
		}
	}

	private void applyConfigurations(MeshStore.StoredItems items) {
		items.items().forEach(this::applyConfiguration);
	}

	private void applyConfiguration(MeshStore.StoredItem item) {
		if (!item.key().equals(this.storeKeys.configurationKey()) || item.value() == null) {
			return;
		}
		applyConfiguration(item.value(),
				String.format("store revision=%d era=%s", item.position().revision(), item.position().era()));
	}

	private void applyConfigurationOfPeer(byte[] value) {
		applyConfiguration(value, "peer");
	}

	private void applyConfiguration(byte[] value, String source) {
		try {
			MeshConfiguration candidate = this.decoder.decode(value);
			if (this.router.apply(candidate)) {
				this.configurationValue = value;
				this.allotmentTask.configure(candidate.workspaces());
				logger.infof("event=configuration-in-force version=%08x routes=%d workspaces=%d source=%s",
						candidate.version(), candidate.routes().size(), candidate.workspaces().size(), source);
				this.metrics.recordConfigurationVersion(candidate.version());
			}
			else if (isOlder(candidate.version())) {
				logger.infof("event=configuration-older version=%08x in_force=%08x source=%s", candidate.version(),
						this.router.configuration().version(), source);
			}
		}
		catch (ConfigurationUnreadableException ex) {
			logger.warnf("event=configuration-unreadable source=%s reason=\"%s\"", source, ex.getMessage());
		}
	}

	private boolean isOlder(long version) {
		return Long.compareUnsigned(version, this.router.configuration().version()) < 0;
	}

	private void replaceMembers(MeshStore.StoredItems items) {
		List<MeshMember> members = new ArrayList<>();
		boolean ownEntryFound = false;
		for (MeshStore.StoredItem item : items.items()) {
			if (this.fleetSizeRecord.is(item)) {
				continue;
			}
			Optional<MeshMember> member = this.entryReader.read(item);
			member.ifPresent(members::add);
			if (member.isPresent() && isOwnEntry(item)) {
				ownEntryFound = true;
				this.entryPublisher.entryObserved(item.position());
				this.localBackend.restore(member.get());
			}
		}
		this.peers.updateMembers(members);
		this.fleetSizeRecord.listed(items);
		if (!this.membersListed) {
			this.membersListed = true;
			publishLocalServer();
		}
		if (!ownEntryFound) {
			this.entryPublisher.entryMissing();
		}
	}

	private boolean isOwnEntry(MeshStore.StoredItem item) {
		return item.key().equals(this.storeKeys.memberPrefix() + this.settings.nodeId());
	}

	private void applyMemberChanges(MeshStore.StoredItems items) {
		this.fleetSizeRecord.changed(items);
		for (MeshStore.StoredItem item : items.items()) {
			if (this.fleetSizeRecord.is(item)) {
				continue;
			}
			if (item.value() == null) {
				removeMember(this.entryReader.nodeName(item));
				continue;
			}
			if (isOwnEntry(item)) {
				this.entryPublisher.entryObserved(item.position());
				continue;
			}
			this.entryReader.read(item).ifPresent(this.peers::announced);
		}
	}

	private void removeMember(String name) {
		if (name.equals(this.settings.nodeId().value())) {
			this.entryPublisher.entryMissing();
			return;
		}
		try {
			this.peers.entryMissing(new NodeId(name));
		}
		catch (IllegalArgumentException ex) {
			logger.debugf("event=entry-foreign key=%s", name);
		}
	}

	private long receiveDelay() {
		long now = System.nanoTime();
		if (this.pauseDetector.observe(now, System.currentTimeMillis())) {
			logger.infof("event=pause-detected duration_ms=%d",
					TimeUnit.NANOSECONDS.toMillis(this.pauseDetector.receiveDelay(now)));
			this.peers.restartMissingTimeouts(now);
			this.allotments.pauseEnded(now);
		}
		return this.pauseDetector.receiveDelay(now);
	}

	private void tick() {
		long now = System.nanoTime();
		this.localBackend.tick(now);
		this.fleetSizeRecord.tick();
		// Right after a pause, replies and store entries that arrived meanwhile may not
		// have been read yet, so no link is silent, no request slow and no entry missing.
		if (receiveDelay() == 0) {
			this.peers.tick(now, this.memberWatch.reachable());
			this.earlyRepeats.tick(now);
		}
		if (now - this.lastVersionCheck > VERSION_CHECK_INTERVAL_NANOSECONDS) {
			this.lastVersionCheck = now;
			if (!this.configurationWatch.reachable()) {
				this.peers.pingAny(this.random);
			}
		}
		if (now - this.lastIdleCheck > IDLE_CHECK_INTERVAL_NANOSECONDS) {
			this.lastIdleCheck = now;
			this.metrics.recordHeldMemory(this.memory);
			long idleTimeout = callerLimits().idleTimeout().toNanos();
			this.callerConnections.open().forEach((caller) -> caller.closeIfIdle(now, idleTimeout));
		}
	}

	/**
	 * Stops gracefully: drains the local backend server and waits for requests in
	 * progress and for responses that are being written, at most until the grace period
	 * is almost over.
	 */
	public void close() {
		logger.infof("event=node-stopping node=%s", this.settings.nodeId());
		this.eventLoop.submit(() -> {
			// A repeated call does not restart the grace period.
			if (!this.stopping) {
				this.stopping = true;
				this.stopStart = System.nanoTime();
				long end = this.stopStart + (long) (this.settings.grace().toNanos() * STOP_GRACE_SHARE)
						- STOP_MARGIN_NANOSECONDS;
				this.router.stopAt(end);
				this.localBackend.stop(end);
				this.allotments.stop();
				// The store may be away, so the other nodes are notified directly as
				// well.
				List.copyOf(this.serverLinks).forEach(ServerLink::reportState);
			}
		}).awaitUninterruptibly();
		while (!this.eventLoop.submit(this::advanceStop).awaitUninterruptibly().getNow()) {
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

	private boolean advanceStop() {
		long elapsed = System.nanoTime() - this.stopStart;
		long grace = this.settings.grace().toNanos();
		boolean idle = this.router.activeRequests() == 0 && this.localBackend.activeCalls() == 0
				&& this.callerConnections.open().stream().noneMatch(EntryConnection::hasUnwrittenResponses)
				&& this.serverLinks.stream().noneMatch(ServerLink::hasUnwrittenReplies);
		boolean finished = idle && elapsed > MINIMUM_STOP_NANOSECONDS;
		if (finished || elapsed > grace * REFUSAL_GRACE_SHARE) {
			this.router.refuseNewRequests();
		}
		// Requests may have arrived while the event loop was busy. It has read and
		// answered them once two checks follow each other without a long gap.
		boolean confirmed = finished && this.stopFinished
				&& elapsed - this.lastStopCheck < MAXIMUM_STOP_CHECK_GAP_NANOSECONDS;
		this.stopFinished = finished;
		this.lastStopCheck = elapsed;
		return confirmed || elapsed > grace * STOP_GRACE_SHARE;
	}

}
