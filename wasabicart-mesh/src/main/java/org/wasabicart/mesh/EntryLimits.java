package org.wasabicart.mesh;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.HttpHeaderNames;

import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.EntryThrottles;
import org.wasabicart.core.mesh.MeshRoute;
import org.wasabicart.core.mesh.RepeatBudget;
import org.wasabicart.core.mesh.RequestOutcome;
import org.wasabicart.core.mesh.RequestPriority;
import org.wasabicart.core.mesh.RetryDelays;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.overload.AdmittedShare;
import org.wasabicart.core.overload.OverloadSignals;

/**
 * Limits of the entry for new work: which requests it admits, how many it repeats, and
 * when refused callers should retry.
 */
final class EntryLimits {

	/**
	 * Share of the configured repeat ratio that each node grants per service: a repeated
	 * request repeats its nested calls, so the repeats of all levels of the call graph
	 * add up at the deepest service.
	 */
	private static final double SERVICE_REPEAT_SHARE = 0.25;

	/**
	 * Refusals for overload after which the request is not sent again: the server chosen
	 * first had the lowest load.
	 */
	private static final int MAXIMUM_OVERLOAD_REFUSALS = 2;

	/**
	 * Refusals for overload after which a nested call is not sent again while the
	 * admission follows the scarcest service: the request that made it was admitted for
	 * the room that the service has, and a refusal before the run costs little.
	 */
	private static final int MAXIMUM_NESTED_OVERLOAD_REFUSALS = 4;

	/** Decimal places of a retry delay in seconds with millisecond resolution. */
	private static final int MILLISECOND_DECIMAL_PLACES = 3;

	private final RepeatSettings repeatSettings;

	private final EntryThrottles throttles;

	private final RetryDelays retryDelays;

	private final Map<ServiceName, RepeatBudget> repeatBudgets = new HashMap<>();

	private final Set<String> nestedRoutes = new HashSet<>();

	private final RandomGenerator random;

	private final OverloadSignals signals;

	private Collection<MeshRoute> routes = List.of();

	private Collection<Integer> workspacePriorities = List.of();

	EntryLimits(RepeatSettings repeatSettings, RandomGenerator random, OverloadSignals signals) {
		this.random = Objects.requireNonNull(random, "random");
		this.signals = Objects.requireNonNull(signals, "signals");
		this.repeatSettings = Objects.requireNonNull(repeatSettings, "repeatSettings");
		this.throttles = new EntryThrottles(random);
		this.retryDelays = new RetryDelays(random);
	}

	/**
	 * Sets the configured routes and removes the state of other routes and of workspace
	 * priorities that are no longer configured.
	 * @param configured routes
	 * @param workspacePriorities priorities of the configured workspaces
	 */
	void routes(Collection<MeshRoute> configured, Collection<Integer> workspacePriorities) {
		this.routes = List.copyOf(configured);
		this.workspacePriorities = List.copyOf(workspacePriorities);
		Set<String> names = configured.stream().map(MeshRoute::name).collect(Collectors.toSet());
		this.throttles.retain(names, workspacePriorities);
		this.nestedRoutes.retainAll(names);
		updateSignals();
	}

	private void updateSignals() {
		this.signals.routes(this.routes.stream().filter((route) -> !this.nestedRoutes.contains(route.name())).toList(),
				this.workspacePriorities);
	}

	/**
	 * Records the origin of a route's calls as reported by another node. An unknown
	 * origin, which a node reports after its start, does not replace an earlier report.
	 * @param route name of the route
	 * @param origin origin of its calls
	 */
	void recordOrigin(String route, CallOrigin origin) {
		boolean changed = (origin == CallOrigin.NESTED && this.nestedRoutes.add(route))
				|| (origin == CallOrigin.OUTSIDE && this.nestedRoutes.remove(route));
		if (changed) {
			updateSignals();
		}
	}

	/**
	 * Returns whether the calls of a route are made by servers.
	 * @param route route
	 * @return whether they are nested calls, as far as known
	 */
	boolean nested(MeshRoute route) {
		return this.nestedRoutes.contains(route.name());
	}

	/**
	 * Decides whether to admit a request. Nested calls are always admitted: refusing one
	 * wastes the work already done for the request that made it.
	 * @param route route of the request
	 * @param priority priority of the request
	 * @param now current time in nanoseconds
	 * @return whether the request is admitted
	 */
	boolean admit(MeshRoute route, RequestPriority priority, long now) {
		if (this.nestedRoutes.contains(route.name())) {
			this.signals.called(route.name(), now);
			return true;
		}
		return this.signals.admittedShare(route, priority, now)
			.map((decision) -> this.random.nextDouble() < decision.share())
			.orElseGet(() -> this.throttles.admit(route, priority.workspace(), now));
	}

	/**
	 * Records the outcome of an admitted request.
	 * @param route route of the request
	 * @param priority priority of the request
	 * @param outcome outcome of the request
	 * @param now current time in nanoseconds
	 */
	void recordOutcome(MeshRoute route, RequestPriority priority, RequestOutcome outcome, long now) {
		if (!this.nestedRoutes.contains(route.name())) {
			this.throttles.ended(route, priority.workspace(), outcome, now);
		}
	}

	/**
	 * Describes the share of a route's new requests that is admitted, for the log.
	 * @param route route
	 * @param priority priority of the requests
	 * @param now current time in nanoseconds
	 * @return the share, and the service that is short, the node that reported it, and
	 * the age of that report in milliseconds
	 */
	String describeShare(MeshRoute route, RequestPriority priority, long now) {
		AdmittedShare decision = this.signals.admittedShare(route, priority, now)
			.orElseGet(() -> new AdmittedShare(this.throttles.share(route, priority.workspace()), Optional.empty()));
		return decision.share() + decision.scarcest()
			.map((shortage) -> " short=%s short_node=%s short_age_ms=%d".formatted(shortage.service(), shortage.node(),
					TimeUnit.NANOSECONDS.toMillis(now - shortage.observed())))
			.orElse("");
	}

	/**
	 * Returns the number of refusals for overload after which a request is not sent to
	 * another server.
	 * @param route route
	 * @param priority priority of the request
	 * @param now current time in nanoseconds
	 * @return the number
	 */
	int maximumOverloadRefusals(MeshRoute route, RequestPriority priority, long now) {
		boolean nested = this.nestedRoutes.contains(route.name());
		return (nested && this.signals.admittedShare(route, priority, now).isPresent())
				? MAXIMUM_NESTED_OVERLOAD_REFUSALS : MAXIMUM_OVERLOAD_REFUSALS;
	}

	/**
	 * Returns whether a service that the requests of a route need is short of room, so
	 * that a second copy of one would displace others.
	 * @param route route
	 * @param priority priority of the request
	 * @param now current time in nanoseconds
	 * @return whether requests of the route are refused
	 */
	boolean shortOfRoom(MeshRoute route, RequestPriority priority, long now) {
		return this.throttles.share(route, priority.workspace()) < 1 || this.signals.admittedShare(route, priority, now)
			.filter((decision) -> decision.share() < 1)
			.isPresent();
	}

	/**
	 * Returns the budget for requests that this node sends to a service again.
	 * @param service service
	 * @return the budget
	 */
	RepeatBudget repeatBudget(ServiceName service) {
		return this.repeatBudgets.computeIfAbsent(service,
				(name) -> new RepeatBudget(this.repeatSettings.ratio() * SERVICE_REPEAT_SHARE, 1));
	}

	/**
	 * Returns the header field that advises a refused caller when to retry.
	 * @param route route of the request, or null if no route was found
	 * @return the header field
	 */
	HeaderBlock retryAfter(MeshRoute route) {
		return retryAfter(this.retryDelays.next(route));
	}

	/**
	 * Returns the header field that advises a refused caller when to retry.
	 * @param delay time until the retry, sent with a resolution of milliseconds
	 * @return the header field
	 */
	static HeaderBlock retryAfter(Duration delay) {
		BigDecimal seconds = BigDecimal.valueOf(delay.toMillis(), MILLISECOND_DECIMAL_PLACES);
		return HeaderBlock.of(HttpHeaderNames.RETRY_AFTER, seconds.toPlainString());
	}

}
