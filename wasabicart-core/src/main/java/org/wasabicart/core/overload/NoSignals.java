package org.wasabicart.core.overload;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.wasabicart.core.mesh.MeshRoute;
import org.wasabicart.core.mesh.RequestPriority;

/**
 * Signals of a node that neither observes nor applies shortages.
 */
final class NoSignals implements OverloadSignals {

	@Override
	public void routes(Collection<MeshRoute> routes, Collection<Integer> workspacePriorities) {
	}

	@Override
	public void offered(boolean roomFound) {
	}

	@Override
	public void update(int slots, double capacity, int waiting, long now) {
	}

	@Override
	public void started(String route, long now) {
	}

	@Override
	public void ended(String route, long started, long now) {
	}

	@Override
	public void called(String route, long now) {
	}

	@Override
	public Optional<List<Shortage>> reports(String route, long now) {
		return Optional.empty();
	}

	@Override
	public void reported(String route, List<Shortage> reports, long now) {
	}

	@Override
	public Optional<AdmittedShare> admittedShare(MeshRoute route, RequestPriority priority, long now) {
		return Optional.empty();
	}

}
