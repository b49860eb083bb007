package org.wasabicart.core.model;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Immutable configuration of one revision.
 */
public final class ConfigurationSnapshot {

	private final Revision revision;

	private final Map<KindName, RequestKind> kinds;

	private final Map<ServiceName, ServicePolicy> services;

	private final Map<TenantName, TenantPolicy> tenants;

	private final Map<FailureDomain, RegionName> failureDomains;

	/**
	 * Creates a snapshot.
	 * @param revision revision assigned by the store
	 * @param kinds request kinds, in the order in which path prefixes of equal length are
	 * tried
	 * @param services services
	 * @param tenants tenants
	 * @param failureDomains region of each failure domain
	 */
	public ConfigurationSnapshot(Revision revision, Collection<RequestKind> kinds, Collection<ServicePolicy> services,
			Collection<TenantPolicy> tenants, Map<FailureDomain, RegionName> failureDomains) {
		this.revision = Objects.requireNonNull(revision, "revision");
		this.kinds = new LinkedHashMap<>();
		kinds.forEach((kind) -> this.kinds.put(kind.name(), kind));
		this.services = new LinkedHashMap<>();
		services.forEach((service) -> this.services.put(service.name(), service));
		this.tenants = new LinkedHashMap<>();
		tenants.forEach((tenant) -> this.tenants.put(tenant.name(), tenant));
		this.failureDomains = Map.copyOf(failureDomains);
	}

	/**
	 * Returns a snapshot without any entries, which is in force until the first
	 * configuration is applied.
	 * @return the empty snapshot of revision zero
	 */
	public static ConfigurationSnapshot empty() {
		return new ConfigurationSnapshot(new Revision(0), List.of(), List.of(), List.of(), Map.of());
	}

	public Revision revision() {
		return this.revision;
	}

	public Collection<RequestKind> kinds() {
		return Collections.unmodifiableCollection(this.kinds.values());
	}

	public Collection<ServicePolicy> services() {
		return Collections.unmodifiableCollection(this.services.values());
	}

	public Collection<TenantPolicy> tenants() {
		return Collections.unmodifiableCollection(this.tenants.values());
	}

	public Map<FailureDomain, RegionName> failureDomains() {
		return this.failureDomains;
	}

	/**
	 * Finds a kind by name.
	 * @param name name of the kind
	 * @return the kind, or empty if it is not configured
	 */
	public Optional<RequestKind> kind(KindName name) {
		return Optional.ofNullable(this.kinds.get(name));
	}

	/**
	 * Finds the kind with the longest matching path prefix.
	 * @param path request path
	 * @return the kind, or empty if no prefix matches
	 */
	public Optional<RequestKind> kindOfPath(String path) {
		RequestKind longestMatch = null;
		for (RequestKind kind : this.kinds.values()) {
			String prefix = kind.pathPrefix();
			boolean matches = !prefix.isEmpty() && path.startsWith(prefix);
			if (matches && (longestMatch == null || prefix.length() > longestMatch.pathPrefix().length())) {
				longestMatch = kind;
			}
		}
		return Optional.ofNullable(longestMatch);
	}

	/**
	 * Finds a service by name.
	 * @param name name of the service
	 * @return the service, or empty if it is not configured
	 */
	public Optional<ServicePolicy> service(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Finds a tenant by name.
	 * @param name name of the tenant
	 * @return the tenant, or empty if it is not configured
	 */
	public Optional<TenantPolicy> tenant(TenantName name) {
		return Optional.ofNullable(this.tenants.get(name));
	}

}
