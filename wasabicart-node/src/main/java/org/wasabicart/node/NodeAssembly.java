package org.wasabicart.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.admission.AdmissionControllers;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.RequestKind;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.ServicePolicy;
import org.wasabicart.core.model.TenantName;
import org.wasabicart.core.model.TenantPolicy;
import org.wasabicart.core.order.ClaimController;
import org.wasabicart.core.order.TicketLimits;
import org.wasabicart.core.retry.RetryAllowances;
import org.wasabicart.core.retry.RetryBudgets;
import org.wasabicart.core.routing.EarlyRefusals;
import org.wasabicart.core.routing.RegionLink;
import org.wasabicart.core.routing.Routers;
import org.wasabicart.node.http.InForceApi;
import org.wasabicart.node.http.TicketApi;
import org.wasabicart.node.link.LinkIdentity;
import org.wasabicart.node.link.LinkLimits;
import org.wasabicart.node.link.LinkTransport;
import org.wasabicart.node.observe.InForceSurvey;
import org.wasabicart.node.order.KeyClaimer;
import org.wasabicart.node.order.OrderParts;
import org.wasabicart.node.order.OrderService;
import org.wasabicart.node.order.StoreKeyClaimer;
import org.wasabicart.node.peer.ControlHandler;
import org.wasabicart.node.request.ExecutorTaskScheduler;
import org.wasabicart.node.request.LocalAdmission;
import org.wasabicart.node.settings.NodeSettings;
import org.wasabicart.store.HttpStoreClient;
import org.wasabicart.store.StoreClient;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Assembles the node of a process from its settings.
 */
final class NodeAssembly {

	private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

	// Limits claims to a part of the several hundred writes per second that the store
	// handles.
	private static final double MAXIMUM_CLAIMS_PER_SECOND = 200;

	private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(500);

	private final NodeSettings settings;

	private final Ticker ticker = System::nanoTime;

	private final RandomGenerator random = new SecureRandom();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private volatile MembershipService membership;

	private final RegionLink regionLink = new RegionLink(this.ticker);

	private KeyClaimer keyClaimer;

	private NodeAssembly(NodeSettings settings) {
		this.settings = settings;
	}

	/**
	 * Assembles a node.
	 * @param settings settings
	 * @return the node, not started
	 * @throws IOException if the shared key cannot be read
	 */
	static Node assemble(NodeSettings settings) throws IOException {
		return new NodeAssembly(settings).assemble();
	}

	private Node assemble() throws IOException {
		byte[] sharedKey = Files.readAllBytes(this.settings.sharedKeyFile());
		// Increases with each run of the node unless the VM's clock is set back.
		InstanceNumber instance = new InstanceNumber(System.currentTimeMillis());
		NodeParts parts = new NodeParts(this.settings, instance, this.ticker, new ExecutorTaskScheduler(), this.random,
				this.configuration, new LocalServerHolder(this.ticker), createDecisions(), this::members, List.of(),
				List.of());
		LinkTransport linkTransport = createLinkTransport(instance, sharedKey);
		OrderNodeService orderService = createOrderService(parts, linkTransport);
		OrderService orders = orderService.orders();
		Node node = new Node(parts.withFilters(List.of(orders.homeFilter()), List.of(orders.servingFilter())));
		this.keyClaimer = createKeyClaimer(node);
		this.membership = new MembershipService(parts, sharedKey, linkTransport, createStoreClient(node),
				parts.decisions().router()::updateMembers);
		node.setTransport(orders.transport());
		node.addOperatorApi(new TicketApi(orders, this.configuration, this.random));
		node.addOperatorApi(new InForceApi(
				new InForceSurvey(this.settings.nodeId(), this.configuration, this::members, linkTransport)));
		node.addService(orderService);
		node.addService(new LinkService(linkTransport, node.peerHandler(), createControlHandler(orders)));
		node.addService(this.membership);
		node.metrics()
			.counter("wasabicart_region_bytes_total", "Bytes that this node sent to and received from other regions",
					this.regionLink::transferredBytes);
		node.metrics()
			.gauge("wasabicart_link_buffered_bytes", "Bytes of partly received bodies", linkTransport::bufferedBytes);
		node.metrics().gauge("wasabicart_tickets", "Tickets that this node holds", orders::ticketCount);
		return node;
	}

	private Collection<Member> members() {
		MembershipService current = this.membership;
		return (current != null) ? current.members() : List.of();
	}

	private OrderNodeService createOrderService(NodeParts parts, LinkTransport linkTransport) {
		OrderParts orderParts = new OrderParts(this.settings.nodeId(), parts.instance(), this.ticker, this.random,
				parts.scheduler(), this::members, parts.localServer()::draining, linkTransport,
				(context, key, ticket, members) -> this.keyClaimer.claim(context, key, ticket, members),
				TicketLimits.HOME, TicketLimits.SERVING);
		return new OrderNodeService(parts.scheduler(), orderParts);
	}

	private KeyClaimer createKeyClaimer(Node node) {
		if (this.settings.store().isEmpty()) {
			return (context, key, ticket, members) -> CompletableFuture
				.failedFuture(new IOException("No store is configured"));
		}
		return new StoreKeyClaimer(new HttpStoreClient(node.actorSystem(), this.settings.store(), CLAIM_TIMEOUT),
				new ClaimController(MAXIMUM_CLAIMS_PER_SECOND, this.ticker), this.ticker);
	}

	private LinkTransport createLinkTransport(InstanceNumber instance, byte[] sharedKey) {
		InetSocketAddress listen = new InetSocketAddress(this.settings.listenAddress().host(),
				this.settings.listenAddress().port());
		return new LinkTransport(new LinkIdentity(this.settings.nodeId(), instance), listen, sharedKey,
				LinkLimits.DEFAULT, this.ticker, this.random);
	}

	private Optional<StoreClient> createStoreClient(Node node) {
		if (this.settings.store().isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new HttpStoreClient(node.actorSystem(), this.settings.store(), STORE_TIMEOUT));
	}

	private ControlHandler createControlHandler(OrderService orders) {
		return (request) -> CompletableFuture.completedFuture(handleControlRequest(orders, request));
	}

	private ControlResponse handleControlRequest(OrderService orders, ControlRequest request) {
		return switch (request.getContentCase()) {
			case CONFIGURATION_ABOVE_REVISION -> this.membership.answer(request);
			case REVISION_QUERY -> ControlResponse.newBuilder()
				.setRevisionInForce(this.configuration.current().revision().value())
				.build();
			default -> orders.handleControlRequest(request).orElseGet(ControlResponse::getDefaultInstance);
		};
	}

	private Decisions createDecisions() {
		return switch (this.settings.control()) {
			case WASABICART -> new Decisions(createAdaptiveAdmission(),
					Routers.locality(this.settings.failureDomain(), this.settings.region(), this.regionLink,
							this.ticker, this.random),
					EarlyRefusals.learning(
							(kind) -> this.configuration.current().kind(kind).map(RequestKind::entryService),
							this.ticker, this.random),
					RetryAllowances::bounded, (service) -> RetryBudgets.earned(retryBudgetRatio(service)));
			case FIXED ->
				createBaselineDecisions((policy) -> AdmissionControllers.fixedLimit(policy, this.ticker, this.random));
			case NONE -> createBaselineDecisions((policy) -> AdmissionControllers.unlimited(this.ticker));
		};
	}

	private LocalAdmission.AdmissionFactory createAdaptiveAdmission() {
		return (policy) -> AdmissionControllers.adaptive(policy, this::tenantShare, this.ticker, this.random);
	}

	private double tenantShare(TenantName tenant) {
		return this.configuration.current().tenant(tenant).map(TenantPolicy::share).orElse(1.0);
	}

	private DoubleSupplier retryBudgetRatio(ServiceName service) {
		return () -> this.configuration.current().service(service).map(ServicePolicy::retryBudgetRatio).orElse(0.0);
	}

	private Decisions createBaselineDecisions(LocalAdmission.AdmissionFactory admission) {
		return new Decisions(admission, Routers.random(this.settings.region(), this.regionLink, this.random),
				EarlyRefusals.none(), RetryAllowances::bounded, (service) -> RetryBudgets.unlimited());
	}

}
