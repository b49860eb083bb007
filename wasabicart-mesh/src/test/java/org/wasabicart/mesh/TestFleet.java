package org.wasabicart.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.wasabicart.core.mesh.BackendIncarnation;
import org.wasabicart.core.mesh.CallerLimits;
import org.wasabicart.core.mesh.MeshConfiguration;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.MeshRoute;
import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.mesh.ServiceShare;
import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.overload.AdmissionMode;
import org.wasabicart.core.overload.GateOrder;
import org.wasabicart.core.workspace.WorkspaceDirectory;
import org.wasabicart.mesh.capacity.ServerCapacityMode;

/**
 * Mesh nodes with backend servers on the loopback interface. Each node has an event loop
 * of its own, so that it can be killed; the servers share one.
 */
final class TestFleet implements AutoCloseable {

	static final Duration GRACE = Duration.ofSeconds(3);

	private static final String HOST = "127.0.0.1";

	private final MultiThreadIoEventLoopGroup backendGroup = new MultiThreadIoEventLoopGroup(1,
			NioIoHandler.newFactory());

	private final List<MultiThreadIoEventLoopGroup> nodeGroups = new ArrayList<>();

	private final List<NodeStore> nodeStores = new ArrayList<>();

	private final List<MeshSettings> settings = new ArrayList<>();

	private final List<String> services;

	/** Workspaces of each version of the configuration. */
	private final IntFunction<WorkspaceDirectory> workspaces;

	final FakeMeshStore store = new FakeMeshStore();

	final List<TestBackend> backends = new ArrayList<>();

	final List<MeshNode> nodes = new ArrayList<>();

	final List<InetSocketAddress> entryAddresses = new ArrayList<>();

	TestFleet(List<String> services, int bodyBytes) throws Exception {
		this(services, bodyBytes, GRACE);
	}

	TestFleet(List<String> services, int bodyBytes, Duration grace) throws Exception {
		this(services, bodyBytes, grace, (version) -> WorkspaceDirectory.empty());
	}

	TestFleet(List<String> services, int bodyBytes, Duration grace, IntFunction<WorkspaceDirectory> workspaces)
			throws Exception {
		this(services, bodyBytes, grace, workspaces, ServerCapacityMode.ANNOUNCED, new RepeatSettings(0.2));
	}

	TestFleet(List<String> services, int bodyBytes, Duration grace, ServerCapacityMode capacity) throws Exception {
		this(services, bodyBytes, grace, (version) -> WorkspaceDirectory.empty(), capacity, new RepeatSettings(0.2));
	}

	TestFleet(List<String> services, RepeatSettings repeats) throws Exception {
		this(services, 10, GRACE, (version) -> WorkspaceDirectory.empty(), ServerCapacityMode.LEARNED, repeats);
	}

	private TestFleet(List<String> services, int bodyBytes, Duration grace, IntFunction<WorkspaceDirectory> workspaces,
			ServerCapacityMode capacity, RepeatSettings repeats) throws Exception {
		this.workspaces = workspaces;
		this.services = List.copyOf(services);
		for (int i = 0; i < services.size(); i++) {
			TestBackend backend = new TestBackend(this.backendGroup.next(), new InetSocketAddress(HOST, 0), "i-" + i,
					bodyBytes);
			this.backends.add(backend);
			this.settings.add(new MeshSettings(new NodeId("n" + i), new FailureDomain("d"), new RegionName("r"),
					new ServiceName(services.get(i)), backend.address(), LoopbackAddresses.findFree(),
					LoopbackAddresses.findFree(), Duration.ofMillis(500), grace, repeats, capacity, AdmissionMode.ROUTE,
					GateOrder.DEADLINE, EntryBounds.DEFAULT));
		}
		for (int i = 0; i < services.size(); i++) {
			MeshSettings nodeSettings = this.settings.get(i);
			MeshMember member = new MeshMember(nodeSettings.nodeId(),
					new NodeAddress(nodeSettings.linkAddress().getAddress().getHostAddress(),
							nodeSettings.linkAddress().getPort()),
					nodeSettings.failureDomain(), nodeSettings.region(), nodeSettings.service(),
					new BackendIncarnation("i-" + i, 1), 20, ServerState.READY);
			String key = "members/" + nodeSettings.nodeId();
			this.store.put(key, MemberEntries.toEntry(member).toByteArray());
		}
		this.store.put("members/~nodes", Integer.toString(services.size()).getBytes(StandardCharsets.US_ASCII));
		publishConfiguration(1);
		for (int i = 0; i < services.size(); i++) {
			this.entryAddresses.add(this.settings.get(i).entryAddress());
			this.nodes.add(null);
			this.nodeGroups.add(null);
			this.nodeStores.add(null);
			start(i);
		}
		// Time for the nodes to read the store and to connect to each other.
		TimeUnit.MILLISECONDS.sleep(300);
	}

	/**
	 * Starts the process of a node, also after {@link #kill}. Its server has announced
	 * itself when this returns.
	 * @param index number of the node
	 * @throws Exception if the node cannot be started
	 */
	void start(int index) throws Exception {
		startWithoutHeartbeat(index);
		announce(index, 1, ServerState.READY);
	}

	void startWithoutHeartbeat(int index) throws Exception {
		MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		NodeStore nodeStore = new NodeStore(this.store, group.next());
		this.nodeStores.set(index, nodeStore);
		MeshNode node = new MeshNode(this.settings.get(index), TestHeaders.NAMES,
				new StoreKeys("configuration", "members/"),
				(value) -> configuration(this.services, value[0], this.workspaces.apply(value[0])), nodeStore,
				group.next(), new SplittableRandom(index), new MeshMetrics());
		this.nodeGroups.set(index, group);
		this.nodes.set(index, node);
		node.start();
	}

	/**
	 * Lets the store reject all calls of one node.
	 * @param index number of the node
	 * @param rejecting whether calls are rejected
	 */
	void rejectStoreCalls(int index, boolean rejecting) {
		this.nodeStores.get(index).reject(rejecting);
	}

	/**
	 * Keeps the event loop of a node busy.
	 * @param index number of the node
	 * @param milliseconds duration
	 */
	void block(int index, long milliseconds) {
		this.nodeGroups.get(index).next().execute(() -> {
			try {
				TimeUnit.MILLISECONDS.sleep(milliseconds);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	/**
	 * Returns the number of services that a node knows from other nodes.
	 * @param index number of the node
	 * @return the number
	 * @throws Exception if the node does not answer
	 */
	int knownServices(int index) throws Exception {
		return onNode(index, this.nodes.get(index)::knownServices);
	}

	void deregister(int index) throws Exception {
		onNode(index, () -> {
			this.nodes.get(index).handleDeregistration(this.backends.get(index).instance);
			return null;
		});
	}

	/**
	 * Ends the process of a node without a graceful stop: all of its connections close.
	 * @param index number of the node
	 */
	void kill(int index) {
		this.nodes.get(index).closeListeners();
		this.nodeGroups.get(index).shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
		awaitUnused(this.settings.get(index).entryAddress());
		awaitUnused(this.settings.get(index).linkAddress());
	}

	private static void awaitUnused(InetSocketAddress address) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (System.nanoTime() - end < 0) {
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(address);
				return;
			}
			catch (IOException ex) {
				Thread.onSpinWait();
			}
		}
		throw new IllegalStateException("Still in use: " + address);
	}

	void announce(int index, long sequence, ServerState state) throws Exception {
		handleHeartbeat(index, new BackendAnnouncement(this.backends.get(index).instance, 1, sequence,
				this.settings.get(index).service(), 20, state));
	}

	void handleHeartbeat(int index, BackendAnnouncement announcement) throws Exception {
		onNode(index, () -> {
			this.nodes.get(index).handleHeartbeat(announcement);
			return null;
		});
	}

	/**
	 * Writes a version of the configuration to the store.
	 * @param version version
	 */
	void publishConfiguration(int version) {
		this.store.put("configuration", new byte[] { (byte) version });
	}

	// Each version after the first one adds a route to the last service.
	private static MeshConfiguration configuration(List<String> services, long version, WorkspaceDirectory workspaces) {
		List<MeshRoute> routes = new ArrayList<>();
		for (int added = 2; added <= version; added++) {
			routes.add(new MeshRoute("added-" + added, "host", "/added-" + added + "/", true, 0, 2,
					Optional.of(Duration.ofMillis(800)), Optional.of(Duration.ofMillis(400)),
					List.of(new ServiceShare(new ServiceName(services.get(services.size() - 1)), 1))));
		}
		for (String service : services.stream().distinct().toList()) {
			routes.add(new MeshRoute("read-" + service, "host", "/" + service + "/", true, 0, 2,
					Optional.of(Duration.ofMillis(800)), Optional.of(Duration.ofMillis(400)),
					List.of(new ServiceShare(new ServiceName(service), 1))));
			routes.add(new MeshRoute("write-" + service, "host", "/" + service + "/write/", false, 0, 2,
					Optional.of(Duration.ofMillis(800)), Optional.of(Duration.ofMillis(400)),
					List.of(new ServiceShare(new ServiceName(service), 1))));
		}
		routes.add(new MeshRoute("open", "host", "/open/", true, 0, 2, Optional.of(Duration.ofMillis(800)),
				Optional.empty(), List.of(new ServiceShare(new ServiceName(services.get(0)), 1)), true));
		return new MeshConfiguration(version, routes, List.of(), CallerLimits.DEFAULT, workspaces);
	}

	/**
	 * Runs a task on the event loop of the servers.
	 * @param <T> type of the result
	 * @param task task
	 * @return result of the task
	 * @throws Exception if the task fails
	 */
	<T> T onBackends(Callable<T> task) throws Exception {
		return this.backendGroup.next().submit(task).sync().getNow();
	}

	private <T> T onNode(int index, Callable<T> task) throws Exception {
		return this.nodeGroups.get(index).next().submit(task).sync().getNow();
	}

	@Override
	public void close() {
		for (int i = 0; i < this.nodeGroups.size(); i++) {
			kill(i);
		}
		this.backendGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

}
