package org.wasabicart.core.mesh;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.workspace.WorkspaceDirectory;

/**
 * One version of the routes, services, workspaces and limits. Immutable.
 */
public final class MeshConfiguration {

	private static final Comparator<MeshRoute> LONGEST_PREFIX_FIRST = Comparator
		.comparingInt((MeshRoute route) -> route.prefix().length())
		.reversed();

	private final long version;

	private final Map<String, Map<String, MeshRoute>> routesByHost = new HashMap<>();

	private final List<MeshRoute> routes;

	private final Map<ServiceName, MeshService> services = new HashMap<>();

	private final CallerLimits limits;

	private final WorkspaceDirectory workspaces;

	/**
	 * Creates a configuration without workspaces.
	 * @param version version; a higher one replaces a lower one
	 * @param routes routes
	 * @param services services
	 * @param limits bounds on callers
	 */
	public MeshConfiguration(long version, List<MeshRoute> routes, List<MeshService> services, CallerLimits limits) {
		this(version, routes, services, limits, WorkspaceDirectory.empty());
	}

	/**
	 * Creates a configuration.
	 * @param version version; a higher one replaces a lower one
	 * @param routes routes
	 * @param services services
	 * @param limits bounds on callers
	 * @param workspaces workspaces with their keys
	 */
	public MeshConfiguration(long version, List<MeshRoute> routes, List<MeshService> services, CallerLimits limits,
			WorkspaceDirectory workspaces) {
		this.version = version;
		this.workspaces = Objects.requireNonNull(workspaces, "workspaces");
		this.limits = Objects.requireNonNull(limits, "limits");
		List<MeshRoute> sorted = new ArrayList<>(routes);
		sorted.sort(LONGEST_PREFIX_FIRST);
		this.routes = List.copyOf(sorted);
		for (MeshRoute route : this.routes) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new HashMap<>())
				.putIfAbsent(route.prefix(), route);
		}
		services.forEach((service) -> this.services.put(service.name(), service));
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the bounds on callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the workspaces with their keys.
	 * @return the workspaces
	 */
	public WorkspaceDirectory workspaces() {
		return this.workspaces;
	}

	/**
	 * Returns all routes, the longest prefix first.
	 * @return the routes
	 */
	public List<MeshRoute> routes() {
		return this.routes;
	}

	/**
	 * Returns a service.
	 * @param name name of the service
	 * @return the service, or empty if it is not declared
	 */
	public Optional<MeshService> service(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Finds the route with the longest prefix of the path. The cost depends on the depth
	 * of the path, not on the number of routes.
	 * @param host host that the request names, with or without a port
	 * @param path path of the request, without query
	 * @return the route, or empty if none matches
	 */
	public Optional<MeshRoute> match(String host, String path) {
		Map<String, MeshRoute> candidates = this.routesByHost.get(host);
		if (candidates == null) {
			candidates = this.routesByHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
		}
		if (candidates == null) {
			return Optional.empty();
		}
		for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			MeshRoute route = candidates.get(path.substring(0, end + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	private static String withoutPort(String host) {
		int colon = host.lastIndexOf(':');
		return (colon > 0) ? host.substring(0, colon) : host;
	}

}
