package org.wasabicart.core.overload;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.wasabicart.core.mesh.MeshRoute;
import org.wasabicart.core.mesh.RequestPriority;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.ServiceName;

/**
 * Signals for the admission of whole requests by the scarcest service that they need.
 * Handles demand beyond the capacity of a service that requests reach only after other
 * services have worked for them. All entries derive the admitted share from the same
 * reports of the service's gates, and none from outcomes of its own, which are too few in
 * a large fleet.
 */
public final class CallGraphSignals implements OverloadSignals {

	private final ServiceName service;

	private final NodeId node;

	private final DemandControl demandControl = new DemandControl();

	private final ShortageView view = new ShortageView();

	private final RouteCalls routeCalls = new RouteCalls();

	private final RouteNeeds routeNeeds = new RouteNeeds();

	private final PriorityShares priorityShares = new PriorityShares();

	private long lastReport;

	private boolean reportReceived;

	/**
	 * Creates the signals of one node.
	 * @param service service of the server beside the node
	 * @param node node
	 */
	public CallGraphSignals(ServiceName service, NodeId node) {
		this.service = Objects.requireNonNull(service, "service");
		this.node = Objects.requireNonNull(node, "node");
	}

	@Override
	public void routes(Collection<MeshRoute> routes, Collection<Integer> workspacePriorities) {
		Set<RequestPriority> priorities = new HashSet<>();
		for (MeshRoute route : routes) {
			if (route.anonymous() || workspacePriorities.isEmpty()) {
				priorities.add(RequestPriority.ofRoute(route.priority()));
			}
			workspacePriorities
				.forEach((workspace) -> priorities.add(new RequestPriority(workspace, route.priority())));
		}
		this.priorityShares.priorities(priorities);
	}

	@Override
	public void offered(boolean roomFound) {
		this.demandControl.offered(roomFound);
	}

	@Override
	public void update(int slots, double capacity, int waiting, long now) {
		double own = this.demandControl.admissibleShare();
		double average = this.view.shortage(this.service)
			.filter((shortage) -> now - shortage.observed() < ShortageView.MAXIMUM_AGE)
			.map(Shortage::admissibleShare)
			.orElse(own);
		if (this.demandControl.update(slots, capacity, waiting, average, now)) {
			this.view.record(new Shortage(this.service, this.demandControl.admissibleShare(), this.node, now, false));
		}
	}

	@Override
	public void started(String route, long now) {
		this.routeCalls.started(route, now);
	}

	@Override
	public void ended(String route, long started, long now) {
		this.routeCalls.ended(route, started, now);
	}

	@Override
	public void called(String route, long now) {
		this.routeCalls.called(route, now);
	}

	@Override
	public Optional<List<Shortage>> reports(String route, long now) {
		List<Shortage> reports = this.view.reports(now);
		if (reports.isEmpty()) {
			return Optional.of(reports);
		}
		Set<ServiceName> needed = new HashSet<>(this.routeNeeds.services(this.routeCalls.called(route)));
		needed.add(this.service);
		return Optional
			.of(reports.stream().map((report) -> report.withNeeded(needed.contains(report.service()))).toList());
	}

	@Override
	public void reported(String route, List<Shortage> reports, long now) {
		this.lastReport = now;
		this.reportReceived = true;
		reports.forEach(this.view::record);
		this.routeNeeds.record(route, reports, now);
	}

	@Override
	public Optional<AdmittedShare> admittedShare(MeshRoute route, RequestPriority priority, long now) {
		if (!this.reportReceived || now - this.lastReport > ShortageView.MAXIMUM_AGE) {
			return Optional.empty();
		}
		Shortage scarcest = null;
		for (ServiceName needed : this.routeNeeds.services(route.name())) {
			Shortage shortage = this.view.shortage(needed).orElse(null);
			if (shortage == null) {
				continue;
			}
			if (now - shortage.observed() > ShortageView.MAXIMUM_AGE) {
				return Optional.empty();
			}
			if (scarcest == null || shortage.admissibleShare() < scarcest.admissibleShare()) {
				scarcest = shortage;
			}
		}
		if (scarcest == null) {
			return Optional.of(new AdmittedShare(1, Optional.empty()));
		}
		return Optional.of(new AdmittedShare(this.priorityShares.share(priority, scarcest.admissibleShare()),
				Optional.of(scarcest)));
	}

}
