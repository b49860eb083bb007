package org.wasabicart.configuration;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.ServicePolicy;

/**
 * Checks a document as a whole: references, deadlines, allowances and cycles. Checks that
 * need both sections are left out while one is missing.
 */
final class DocumentChecker {

	private static final int MAXIMUM_CALL_DEPTH = 11;

	private final String place;

	private final List<Finding> findings;

	private final Map<ServiceName, ServicePolicy> services = new HashMap<>();

	private final Map<KindName, KindLimit> limits = new HashMap<>();

	DocumentChecker(String place, List<Finding> findings) {
		this.place = place + ": $";
		this.findings = findings;
	}

	void check(ConfigurationDocument document) {
		document.operations().ifPresent(this::checkOperations);
		document.product().ifPresent(this::checkProduct);
		document.product().ifPresent((product) -> document.operations().ifPresent((operations) -> {
			checkKindsWithServices(product, operations);
			checkLimitsWithKinds(product, operations);
		}));
	}

	private void checkProduct(ProductSection section) {
		Set<KindName> names = new HashSet<>();
		Map<String, KindName> prefixes = new HashMap<>();
		for (int i = 0; i < section.kinds().size(); i++) {
			KindDeclaration kind = section.kinds().get(i);
			String kindPlace = ".product.kinds[" + i + "]";
			if (!names.add(kind.name())) {
				add(kindPlace + ".name", "kind is listed twice: " + kind.name());
			}
			KindName other = kind.pathPrefix().isEmpty() ? null : prefixes.put(kind.pathPrefix(), kind.name());
			if (other != null) {
				add(kindPlace + ".pathPrefix", "path prefix already identifies kind " + other);
			}
		}
		checkTenants(section);
	}

	private void checkTenants(ProductSection section) {
		Set<Object> names = new HashSet<>();
		for (int i = 0; i < section.tenants().size(); i++) {
			if (!names.add(section.tenants().get(i).name())) {
				add(".product.tenants[" + i + "].name", "tenant is listed twice: " + section.tenants().get(i).name());
			}
		}
	}

	private void checkOperations(OperationsSection section) {
		for (int i = 0; i < section.services().size(); i++) {
			ServicePolicy service = section.services().get(i);
			if (this.services.put(service.name(), service) != null) {
				add(".operations.services[" + i + "].name", "service is listed twice: " + service.name());
			}
		}
		for (int i = 0; i < section.services().size(); i++) {
			checkService(section.services().get(i), ".operations.services[" + i + "]");
		}
		checkLimits(section);
		checkFailureDomains(section);
	}

	private void checkService(ServicePolicy service, String servicePlace) {
		if (service.ceiling() > service.connections()) {
			add(servicePlace + ".ceiling",
					"ceiling " + service.ceiling() + " is above the " + service.connections() + " connections");
		}
		if (service.slots() > service.connections()) {
			add(servicePlace + ".slots",
					"slots " + service.slots() + " are above the " + service.connections() + " connections");
		}
		if (service.queueTime().compareTo(service.attemptDeadline()) > 0) {
			add(servicePlace + ".queueTimeMilliseconds", "queue time is longer than the attempt deadline of "
					+ service.attemptDeadline().toMillis() + " ms");
		}
		for (ServiceName called : service.calls()) {
			checkCalled(service, called, servicePlace + ".calls");
		}
		if (depth(service.name(), 0) > MAXIMUM_CALL_DEPTH) {
			add(servicePlace + ".calls", "calls form a cycle or are more than " + MAXIMUM_CALL_DEPTH + " deep");
		}
	}

	private void checkCalled(ServicePolicy service, ServiceName called, String callsPlace) {
		ServicePolicy policy = this.services.get(called);
		if (policy == null) {
			add(callsPlace, "service is not declared: " + called);
		}
		else if (service.attemptDeadline().compareTo(policy.attemptDeadline()) < 0) {
			add(callsPlace,
					"attempt deadline of " + service.attemptDeadline().toMillis()
							+ " ms is shorter than that of the nested call to " + called + ", "
							+ policy.attemptDeadline().toMillis() + " ms");
		}
	}

	private int depth(ServiceName name, int above) {
		ServicePolicy service = this.services.get(name);
		if (service == null || above > MAXIMUM_CALL_DEPTH) {
			return above;
		}
		int deepest = above + 1;
		for (ServiceName called : service.calls()) {
			deepest = Math.max(deepest, depth(called, above + 1));
		}
		return deepest;
	}

	private void checkLimits(OperationsSection section) {
		for (int i = 0; i < section.kindLimits().size(); i++) {
			KindLimit limit = section.kindLimits().get(i);
			String limitPlace = ".operations.kindLimits[" + i + "]";
			if (this.limits.put(limit.kind(), limit) != null) {
				add(limitPlace + ".kind", "kind is listed twice: " + limit.kind());
			}
			checkAllowance(limit.retryAllowance(), section.maximumRetryAllowance(), limitPlace);
		}
		checkAllowance(section.defaultLimit().retryAllowance(), section.maximumRetryAllowance(),
				".operations.defaultLimit");
	}

	private void checkAllowance(int allowance, int maximum, String limitPlace) {
		if (allowance > maximum) {
			add(limitPlace + ".retryAllowance", "allowance " + allowance
					+ " multiplies the attempts past the maximum retry allowance of " + maximum);
		}
	}

	private void checkFailureDomains(OperationsSection section) {
		if (section.failureDomains().isEmpty()) {
			add(".operations.failureDomains", "expected at least one failure domain");
		}
		if (section.failureDomains().containsKey(new FailureDomain("-"))) {
			add(".operations.failureDomains", "a failure domain has no valid name");
		}
	}

	private void checkKindsWithServices(ProductSection product, OperationsSection operations) {
		for (int i = 0; i < product.kinds().size(); i++) {
			KindDeclaration kind = product.kinds().get(i);
			String kindPlace = ".product.kinds[" + i + "]";
			ServicePolicy service = this.services.get(kind.entryService());
			if (service == null) {
				add(kindPlace + ".entryService",
						"kind " + kind.name() + " has no service: " + kind.entryService() + " is not declared");
				continue;
			}
			KindLimit limit = this.limits.get(kind.name());
			Duration deadline = (limit != null) ? limit.deadline() : operations.defaultLimit().deadline();
			if (deadline.compareTo(service.attemptDeadline()) < 0) {
				add(kindPlace + ".name",
						"deadline of " + deadline.toMillis()
								+ " ms is shorter than the attempt deadline of its entry service, "
								+ service.attemptDeadline().toMillis() + " ms");
			}
		}
	}

	private void checkLimitsWithKinds(ProductSection product, OperationsSection operations) {
		Set<KindName> kinds = new HashSet<>();
		product.kinds().forEach((kind) -> kinds.add(kind.name()));
		for (int i = 0; i < operations.kindLimits().size(); i++) {
			KindName kind = operations.kindLimits().get(i).kind();
			if (!kinds.contains(kind)) {
				add(".operations.kindLimits[" + i + "].kind", "kind is not declared: " + kind);
			}
		}
	}

	private void add(String path, String message) {
		this.findings.add(new Finding(this.place + path, message));
	}

}
