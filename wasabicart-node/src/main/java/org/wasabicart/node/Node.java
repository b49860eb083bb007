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
import org.wasabicart.node.http.PekkoBackendExit;
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
import org.wasabicart.node.request.PlainRetryPolicy;
import org.wasabicart.node.request.RequestFilter;
import org.wasabicart.node.request.RetryPolicy;
import org.wasabicart.node.request.RoutingHandler;
import org.wasabicart.node.request.ThresholdRegister;
import org.wasabicart.node.settings.ControlMode;

/**
 * One node: composes the request path from its parts, and starts and stops it. Links and
 * membership join as {@link NodeService}s.
 */
public final class Node implements AutoCloseable {

	private static final Logger LOGGER = Logger.getLogger(Node.class);

	private static final long ADMISSION_TICK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

	/**
	 * Time between ticks while no calls run. Ticks of 5 ms took 1.2% of a core on an idle
	 * node.
	 */
	private static final long IDLE_TICK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(25);

	private static final long ANNOUNCEMENT_TICK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * Shortest time between the announcement of draining and the end of the process, in
	 * which peers learn of it.
	 */
	private static final Duration DRAINING_NOTICE = Duration.ofMillis(500);

	/**
	 * Time without work before the links and connections close. Responses that were
	 * handed to them may still be on their way.
	 */
	private static final Duration SETTLING = Duration.ofMillis(300);

	private static final long DRAINING_POLL_MILLISECONDS = 20;

	private static final long TERMINATION_SECONDS = 3;

	private final List<NodeService> services = new ArrayList<>();

	private final List<OperatorApi> paths = new ArrayList<>();

	private final PeerTransportSlot transport = new PeerTransportSlot();

	private final ExecutorTaskScheduler scheduler;

	private final NodeMetrics metrics = new NodeMetrics();

	private final ThresholdRegister thresholds = new ThresholdRegister();

	private final NodeParts parts;

	private final NodeHealth health;

	private final OperatorPages pages;

	private final ActorSystem system;

	private final LocalAdmission admission;

	private final PekkoBackendExit exit;

	private final CallHandler serving;

	private final CallHandler entry;

	private final NodeHttpServers servers;

	private boolean closed;

	/**
	 * Composes a node without starting it.
	 * @param parts parts
	 */
	public Node(NodeParts parts) {
		this.parts = Objects.requireNonNull(parts, "parts");
		this.scheduler = parts.scheduler();
		this.health = new NodeHealth(parts);
		Config configuration = ConfigFactory.defaultOverrides()
			.withFallback(ConfigFactory.parseResources(Node.class, "node.conf"))
			.withFallback(ConfigFactory.load())
			.resolve();
		this.system = ActorSystem.create("node", configuration);
		Decisions decisions = parts.decisions();
		ContextTable contexts = new ContextTable(new SecureRandom(), decisions.allowances(), parts.ticker());
		this.admission = new LocalAdmission(parts.configuration(), parts.localServer(), decisions.admission());
		this.exit = new PekkoBackendExit(this.system, parts.ticker(), this.scheduler, contexts,
				NodeHttpServers.BODY_LIMIT_BYTES);
		this.serving = servingSide();
		this.entry = entrySide();
		registerMetrics();
		this.pages = new OperatorPages(this.metrics, this.health,
				new NodeStatus(parts, this.admission, this.thresholds::thresholds));
		ClientRequestTable requests = new ClientRequestTable(parts.ticker());
		this.servers = new NodeHttpServers(this.system, parts.ticker(), parts.random(), parts.configuration(),
				parts.localServer(), contexts, requests, this.entry, this::ownPath);
	}

	private Optional<CompletionStage<HttpResponse>> ownPath(HttpRequest request) {
		return Stream.concat(this.paths.stream(), Stream.of(this.pages))
			.flatMap((api) -> api.handle(request).stream())
			.findFirst();
	}

	/**
	 * Adds paths of the node's own. To be invoked before {@link #start()}.
	 * @param api handles some of the node's own paths
	 */
	public void addPaths(OperatorApi api) {
		this.paths.add(Objects.requireNonNull(api, "api"));
	}

	private CallHandler servingSide() {
		AdmissionHandler last = new AdmissionHandler(this.parts.ticker(), this.parts.localServer(), this.admission,
				this.exit);
		List<RequestFilter> filters = new ArrayList<>();
		filters.add(new ObservationFilter(this.parts.ticker(), this.metrics, true));
		filters.addAll(this.parts.servingFilters());
		return RequestFilter.chain(filters, last);
	}

	private CallHandler entrySide() {
		RoutingHandler last = new RoutingHandler(this.parts.settings().nodeId(), this.parts.ticker(), this.scheduler,
				this.parts.configuration(), this.parts.decisions().router(),
				new ObservedRetryPolicy(retryPolicy(), this.metrics), this.transport, this.serving);
		List<RequestFilter> filters = new ArrayList<>();
		filters.add(new ObservationFilter(this.parts.ticker(), this.metrics, false));
		filters.add(new DeadlineFilter(this.parts.ticker(), this.scheduler));
		// Orders come before early refusal: a ticket whose order already ran must not be
		// answered as not run.
		filters.addAll(this.parts.entryFilters());
		filters.add(new EarlyRefusalFilter(this.parts.decisions().earlyRefusal(), this.thresholds));
		return RequestFilter.chain(filters, last);
	}

	private void registerMetrics() {
		this.metrics.admission(this.admission);
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

	private RetryPolicy retryPolicy() {
		Decisions decisions = this.parts.decisions();
		if (this.parts.settings().control() != ControlMode.WASABICART) {
			return new PlainRetryPolicy(this.parts.configuration(), decisions.allowances());
		}
		return new BoundedRetryPolicy(this.parts.configuration(), decisions.allowances(), decisions.budgets(),
				this.parts.random());
	}

	/**
	 * Returns the handler for calls that arrive from peers.
	 * @return the serving side, or the entry side for calls to a ticket's home node
	 */
	public CallHandler peerHandler() {
		return (request, listener) -> {
			boolean home = request.toHome() && request.context().execution() == Execution.ORDER;
			return (home ? this.entry : this.serving).handle(request, listener);
		};
	}

	/**
	 * Sets the transport to peers. To be invoked before {@link #start()}.
	 * @param peers transport
	 */
	public void connect(PeerTransport peers) {
		this.transport.fill(Objects.requireNonNull(peers, "peers"));
	}

	/**
	 * Returns the transport to peers, which is usable once {@link #connect} was invoked.
	 * @return the transport
	 */
	public PeerTransport transport() {
		return this.transport;
	}

	/**
	 * Adds a service that starts and stops with the node. To be invoked before
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
	public ActorSystem system() {
		return this.system;
	}

	/**
	 * Starts the services and then the HTTP servers.
	 * @throws IOException if an address cannot be bound
	 */
	public void start() throws IOException {
		tickAdmission();
		this.scheduler.repeat(ANNOUNCEMENT_TICK_NANOSECONDS, this.parts.localServer()::tick);
		this.scheduler.repeat(ANNOUNCEMENT_TICK_NANOSECONDS, this.health::beat);
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
			long interval = (this.exit.running() > 0) ? ADMISSION_TICK_NANOSECONDS : IDLE_TICK_NANOSECONDS;
			this.scheduler.schedule(interval, this::tickAdmission);
		}
	}

	/**
	 * Stops gracefully: announces draining, refuses new work as not run, and waits until
	 * the work in progress has ended or the grace time has passed.
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
			Http.get(this.system)
				.shutdownAllConnectionPools()
				.toCompletableFuture()
				.get(TERMINATION_SECONDS, TimeUnit.SECONDS);
			this.system.terminate();
			this.system.getWhenTerminated().toCompletableFuture().get(TERMINATION_SECONDS, TimeUnit.SECONDS);
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
		long notice = Math.min(grace, DRAINING_NOTICE.toNanos());
		long elapsed = 0;
		long idleSince = 0;
		while (elapsed < notice || (elapsed < grace && elapsed - idleSince < SETTLING.toNanos())) {
			try {
				Thread.sleep(DRAINING_POLL_MILLISECONDS);
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
	 * Returns the work in progress.
	 * @return requests of callers and calls of the local backend server
	 */
	public int running() {
		return this.servers.running() + this.exit.running();
	}

}
