package org.wasabicart.node;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jboss.logging.Logger;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.retry.ClientRequestTable;
import org.wasabicart.node.http.NodeHttpServers;
import org.wasabicart.node.http.OperatorApi;
import org.wasabicart.node.http.OperatorPages;
import org.wasabicart.node.http.PekkoBackendClient;
import org.wasabicart.node.observe.NodeHealth;
import org.wasabicart.node.observe.NodeMetrics;
import org.wasabicart.node.observe.NodeStatus;
import org.wasabicart.node.observe.ObservationFilter;
import org.wasabicart.node.observe.ObservedRetryPolicy;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.node.request.AdmissionHandler;
import org.wasabicart.node.request.BoundedRetryPolicy;
import org.wasabicart.node.request.ContextTable;
import org.wasabicart.node.request.DeadlineFilter;
import org.wasabicart.node.request.EarlyRefusalFilter;
import org.wasabicart.node.request.ExecutorTaskScheduler;
import org.wasabicart.node.request.LocalAdmission;
import org.wasabicart.node.request.PerHopRetryPolicy;
import org.wasabicart.node.request.RequestFilter;
import org.wasabicart.node.request.RetryPolicy;
import org.wasabicart.node.request.RoutingHandler;
import org.wasabicart.node.request.ThresholdRegister;
import org.wasabicart.node.settings.ControlMode;

/**
 * One node: composes the request path from its parts, and starts and stops it. Links,
 * membership and orders are added as {@link NodeService}s.
 */
public final class Node implements AutoCloseable {

	private static final Logger LOGGER = Logger.getLogger(Node.class);

	private static final long ADMISSION_TICK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

	/**
	 * Interval of admission ticks while no backend calls run. On an idle node, ticks
	 * every 5 ms took 1.2% of a core.
	 */
	private static final long IDLE_ADMISSION_TICK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(25);

	/** Interval of the expiry check for announcements and of the liveness heartbeat. */
	private static final long STATE_TICK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * Minimum time between the announcement of draining and the end of the process, so
	 * that peers receive the announcement.
	 */
	private static final Duration MINIMUM_DRAINING_TIME = Duration.ofMillis(500);

	/**
	 * Time without requests in progress before links and connections are closed, since
	 * they may still be sending responses.
	 */
	private static final Duration IDLE_TIME_BEFORE_CLOSE = Duration.ofMillis(300);

	private static final long DRAINING_POLL_INTERVAL_MILLISECONDS = 20;

	private static final long TERMINATION_TIMEOUT_SECONDS = 3;

	private final List<NodeService> services = new ArrayList<>();

	private final List<OperatorApi> operatorApis = new ArrayList<>();

	private final DeferredPeerTransport transport = new DeferredPeerTransport();

	private final ExecutorTaskScheduler scheduler;

	private final NodeMetrics metrics = new NodeMetrics();

	private final ThresholdRegister thresholds = new ThresholdRegister();

	private final NodeParts parts;

	private final NodeHealth health;

	private final OperatorPages operatorPages;

	private final ActorSystem actorSystem;

	private final LocalAdmission admission;

	private final PekkoBackendClient backendClient;

	private final CallHandler servingHandler;

	private final CallHandler entryHandler;

	private final NodeHttpServers servers;

	private boolean closed;

	/**
	 * Composes a node without starting it.
	 * @param parts parts of the node
	 */
	public Node(NodeParts parts) {
		this.parts = Objects.requireNonNull(parts, "parts");
		this.scheduler = parts.scheduler();
		this.health = new NodeHealth(parts);
		Config configuration = ConfigFactory.defaultOverrides()
			.withFallback(ConfigFactory.parseResources(Node.class, "node.conf"))
			.withFallback(ConfigFactory.load())
			.resolve();
		this.actorSystem = ActorSystem.create("node", configuration);
		Decisions decisions = parts.decisions();
		ContextTable contexts = new ContextTable(new SecureRandom(), decisions.retryAllowances(), parts.ticker());
		this.admission = new LocalAdmission(parts.configuration(), parts.localServer(), decisions.admission());
		this.backendClient = new PekkoBackendClient(this.actorSystem, parts.ticker(), this.scheduler, contexts,
				NodeHttpServers.BODY_LIMIT_BYTES);
		this.servingHandler = createServingHandler();
		this.entryHandler = createEntryHandler();
		registerMetrics();
		this.operatorPages = new OperatorPages(this.metrics, this.health,
				new NodeStatus(parts, this.admission, this.thresholds::thresholds));
		ClientRequestTable requests = new ClientRequestTable(parts.ticker());
		this.servers = new NodeHttpServers(this.actorSystem, parts.ticker(), parts.random(), parts.configuration(),
				parts.localServer(), contexts, requests, this.entryHandler, this::handleOperatorRequest);
	}

	private Optional<CompletionStage<HttpResponse>> handleOperatorRequest(HttpRequest request) {
		return Stream.concat(this.operatorApis.stream(), Stream.of(this.operatorPages))
			.flatMap((api) -> api.handle(request).stream())
			.findFirst();
	}

	/**
	 * Adds an API on the node's own paths. Must be called before {@link #start()}.
	 * @param api serves some of the node's own paths
	 */
	public void addOperatorApi(OperatorApi api) {
		this.operatorApis.add(Objects.requireNonNull(api, "api"));
	}

	private CallHandler createServingHandler() {
		AdmissionHandler admissionHandler = new AdmissionHandler(this.parts.ticker(), this.parts.localServer(),
				this.admission, this.backendClient);
		List<RequestFilter> filters = new ArrayList<>();
		filters.add(new ObservationFilter(this.parts.ticker(), this.metrics, true));
		filters.addAll(this.parts.servingFilters());
		return RequestFilter.chain(filters, admissionHandler);
	}

	private CallHandler createEntryHandler() {
		RoutingHandler routingHandler = new RoutingHandler(this.parts.settings().nodeId(), this.parts.ticker(),
				this.scheduler, this.parts.configuration(), this.parts.decisions().router(),
				new ObservedRetryPolicy(createRetryPolicy(), this.metrics), this.transport, this.servingHandler);
		List<RequestFilter> filters = new ArrayList<>();
		filters.add(new ObservationFilter(this.parts.ticker(), this.metrics, false));
		filters.add(new DeadlineFilter(this.parts.ticker(), this.scheduler));
		// The order filters precede early refusal, so that a ticket whose order already
		// ran is not reported as not run.
		filters.addAll(this.parts.entryFilters());
		filters.add(new EarlyRefusalFilter(this.parts.decisions().earlyRefusal(), this.thresholds));
		return RequestFilter.chain(filters, routingHandler);
	}

	private void registerMetrics() {
		this.metrics.addAdmissionGauges(this.admission);
		this.metrics.gauge("wasabicart_configuration_revision", "Revision of the configuration in force",
				() -> this.parts.configuration().current().revision().value());
		this.metrics.gauge("wasabicart_members", "Members known to this node", () -> this.parts.members().get().size());
		this.metrics.gauge("wasabicart_requests_running", "Requests and backend calls in progress", this::running);
	}

	/**
	 * Returns the node's metrics, for services that add their own.
	 * @return the metrics
	 */
	public NodeMetrics metrics() {
		return this.metrics;
	}

	private RetryPolicy createRetryPolicy() {
		Decisions decisions = this.parts.decisions();
		if (this.parts.settings().control() != ControlMode.WASABICART) {
			return new PerHopRetryPolicy(this.parts.configuration(), decisions.retryAllowances());
		}
		return new BoundedRetryPolicy(this.parts.configuration(), decisions.retryAllowances(), decisions.retryBudgets(),
				this.parts.random());
	}

	/**
	 * Returns the handler of calls from peers. It passes orders that are sent to the home
	 * node of their ticket to the entry side, and all other calls to the serving side.
	 * @return the handler
	 */
	public CallHandler peerHandler() {
		return (request, listener) -> {
			boolean home = request.toHome() && request.context().execution() == Execution.ORDER;
			return (home ? this.entryHandler : this.servingHandler).handle(request, listener);
		};
	}

	/**
	 * Sets the transport to peers. Must be called before {@link #start()}.
	 * @param peers transport
	 */
	public void setTransport(PeerTransport peers) {
		this.transport.set(Objects.requireNonNull(peers, "peers"));
	}

	/**
	 * Returns the transport to peers, to which all peers are unreachable until
	 * {@link #setTransport} is called.
	 * @return the transport
	 */
	public PeerTransport transport() {
		return this.transport;
	}

	/**
	 * Adds a service that starts and stops with the node. Must be called before
	 * {@link #start()}.
	 * @param service service
	 */
	public void addService(NodeService service) {
		this.services.add(Objects.requireNonNull(service, "service"));
	}

	/**
	 * Returns the node's actor system, for other HTTP clients in this process.
	 * @return the actor system
	 */
	public ActorSystem actorSystem() {
		return this.actorSystem;
	}

	/**
	 * Starts the services and then the HTTP servers.
	 * @throws IOException if an address cannot be bound
	 */
	public void start() throws IOException {
		tickAdmission();
		this.scheduler.repeat(STATE_TICK_NANOSECONDS, this.parts.localServer()::tick);
		this.scheduler.repeat(STATE_TICK_NANOSECONDS, this.health::recordHeartbeat);
		for (NodeService service : this.services) {
			service.start();
		}
		this.servers.start(this.parts.settings().httpAddress(), this.parts.settings().localHttpAddress());
		LOGGER.infof("event=node-started node=%s instance=%s http=%s", this.parts.settings().nodeId(),
				this.parts.instance(), this.parts.settings().httpAddress());
	}

	private void tickAdmission() {
		try {
			this.admission.tick();
		}
		finally {
			long interval = (this.backendClient.running() > 0) ? ADMISSION_TICK_NANOSECONDS
					: IDLE_ADMISSION_TICK_NANOSECONDS;
			this.scheduler.schedule(interval, this::tickAdmission);
		}
	}

	/**
	 * Stops gracefully: announces draining, refuses new requests as not run, and waits
	 * until no requests are in progress or the grace time has passed.
	 */
	@Override
	public void close() {
		synchronized (this) {
			if (this.closed) {
				return;
			}
			this.closed = true;
		}
		this.parts.localServer().drain();
		awaitIdle();
		this.servers.unbind();
		for (int index = this.services.size() - 1; index >= 0; index--) {
			this.services.get(index).close();
		}
		this.scheduler.close();
		terminateSystem();
	}

	private void terminateSystem() {
		try {
			Http.get(this.actorSystem)
				.shutdownAllConnectionPools()
				.toCompletableFuture()
				.get(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
			this.actorSystem.terminate();
			this.actorSystem.getWhenTerminated()
				.toCompletableFuture()
				.get(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			LOGGER.warnf("event=stop-incomplete reason=%s", ex);
		}
	}

	private void awaitIdle() {
		long start = this.parts.ticker().nanoseconds();
		long grace = this.parts.settings().grace().toNanos();
		long minimum = Math.min(grace, MINIMUM_DRAINING_TIME.toNanos());
		long elapsed = 0;
		long idleSince = 0;
		while (elapsed < minimum || (elapsed < grace && elapsed - idleSince < IDLE_TIME_BEFORE_CLOSE.toNanos())) {
			try {
				Thread.sleep(DRAINING_POLL_INTERVAL_MILLISECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			elapsed = this.parts.ticker().nanoseconds() - start;
			idleSince = (running() > 0) ? elapsed : idleSince;
		}
		LOGGER.infof("event=drained running=%d milliseconds=%d", running(), TimeUnit.NANOSECONDS.toMillis(elapsed));
	}

	/**
	 * Returns the number of requests and calls in progress.
	 * @return requests of callers plus calls to the local backend server
	 */
	public int running() {
		return this.servers.running() + this.backendClient.running();
	}

}
