package org.wasabicart.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;

import org.wasabicart.core.admission.AdmissionControllers;
import org.wasabicart.core.model.ConfigurationSnapshot;
import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.RequestKind;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.ServicePolicy;
import org.wasabicart.core.retry.RetryAllowances;
import org.wasabicart.core.retry.RetryBudgets;
import org.wasabicart.core.routing.EarlyRefusals;
import org.wasabicart.core.routing.RegionLink;
import org.wasabicart.core.routing.Router;
import org.wasabicart.core.routing.Routers;
import org.wasabicart.node.request.ExecutorTaskScheduler;
import org.wasabicart.node.settings.NodeSettings;
import org.wasabicart.node.settings.SettingsReader;

/**
 * Node in this process with a backend server that runs the handler of the test.
 */
final class RunningNode implements AutoCloseable {

	static final ServiceName STORES = new ServiceName("stores");

	static final Duration DEADLINE = Duration.ofSeconds(2);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final LocalServerHolder localServer = new LocalServerHolder(System::nanoTime);

	private final Set<String> cancelledPaths = ConcurrentHashMap.newKeySet();

	private final NodeSettings settings;

	private final HttpServer backend;

	private final Router router;

	private final Node node;

	RunningNode(int slots, HttpHandler handler) throws Exception {
		this.settings = new SettingsReader(Map.of()).read("--node-id", "n1", "--failure-domain", "a", "--region", "r",
				"--listen-address", TestAddresses.findFree(), "--http-address", TestAddresses.findFree(),
				"--local-http-address", TestAddresses.findFree(), "--grace-seconds", "5", "--shared-key-file",
				keyFile());
		this.backend = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.backend.setExecutor(Executors.newCachedThreadPool());
		this.backend.createContext("/", handler);
		this.backend.createContext("/wasabicart/cancel/", (exchange) -> {
			this.cancelledPaths.add(exchange.getRequestURI().getPath());
			respond(exchange, 204, "");
		});
		this.backend.start();
		Random random = new Random(1);
		this.router = Routers.random(this.settings.region(), new RegionLink(System::nanoTime), random);
		Decisions decisions = new Decisions(
				(policy) -> AdmissionControllers.fixedLimit(policy, System::nanoTime, random), this.router,
				EarlyRefusals.none(), RetryAllowances::bounded, (service) -> RetryBudgets.unlimited());
		this.node = new Node(
				new NodeParts(this.settings, new InstanceNumber(1), System::nanoTime, new ExecutorTaskScheduler(),
						random, this.configuration, this.localServer, decisions, List::of, List.of(), List.of()));
		this.configuration.adopt(snapshot(slots));
		this.node.start();
	}

	private static ConfigurationSnapshot snapshot(int slots) {
		ServicePolicy stores = new ServicePolicy(STORES, slots, slots, 100, 0.1, Duration.ofMillis(100), 1 << 20,
				DEADLINE, Set.of());
		return new ConfigurationSnapshot(new Revision(1), List.of(kind("lookup", Execution.IDEMPOTENT, "/stock/"),
				kind("print-run", Execution.ORDER, "/orders/")), List.of(stores), List.of(), Map.of());
	}

	private static RequestKind kind(String name, Execution execution, String prefix) {
		return new RequestKind(new KindName(name), 50, 1, execution, STORES, prefix, DEADLINE, 2);
	}

	private static String keyFile() throws IOException {
		Path file = Files.createTempFile("shared-key", "");
		file.toFile().deleteOnExit();
		return Files.writeString(file, "key").toString();
	}

	static void respond(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.getRequestBody().readAllBytes();
		exchange.sendResponseHeaders(status, (bytes.length > 0) ? bytes.length : -1);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	/**
	 * Announces the backend server over HTTP, and makes this node a member in its router.
	 * @return this node
	 * @throws Exception if the announcement fails
	 */
	RunningNode announce() throws Exception {
		return announce(this.backend.getAddress().getPort());
	}

	RunningNode announce(int backendPort) throws Exception {
		String json = "{\"service\":\"stores\",\"address\":\"127.0.0.1:" + backendPort
				+ "\",\"slots\":4,\"connections\":16,\"state\":\"serving\"}";
		HttpResponse<String> response = send(HttpRequest.newBuilder(localUri("/wasabicart/announcement"))
			.PUT(HttpRequest.BodyPublishers.ofString(json)));
		if (response.statusCode() != 204) {
			throw new IllegalStateException("Announcement was refused: " + response.body());
		}
		this.router.updateMembers(List.of(new Member(this.settings.nodeId(), new InstanceNumber(1), STORES,
				this.settings.failureDomain(), this.settings.region(), this.settings.advertisedAddress(),
				MemberState.SERVING, 4, new Revision(1))));
		return this;
	}

	/**
	 * Stops the backend server, which stays announced.
	 */
	void stopBackend() {
		this.backend.stop(0);
	}

	HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	URI callerUri(String path) {
		return uri(this.settings.httpAddress(), path);
	}

	URI localUri(String path) {
		return uri(this.settings.localHttpAddress(), path);
	}

	NodeAddress callerAddress() {
		return this.settings.httpAddress();
	}

	private static URI uri(NodeAddress address, String path) {
		return URI.create("http://" + address + path);
	}

	Set<String> cancelledPaths() {
		return this.cancelledPaths;
	}

	HttpClient client() {
		return this.client;
	}

	Node node() {
		return this.node;
	}

	@Override
	public void close() {
		this.node.close();
		this.backend.stop(0);
	}

}
