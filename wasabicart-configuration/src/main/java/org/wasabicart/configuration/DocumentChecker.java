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
 * Checks a document as a whole: duplicate names, references, connection limits,
 * deadlines, retry allowances and call cycles. Checks that need both sections are skipped
 * if one is missing.
 */
final class DocumentChecker {

	private static final int MAXIMUM_CALL_DEPTH = 11;

	private final String rootPlace;

	private final List<Finding> findings;

	private final Map<ServiceName, ServicePolicy> services = new HashMap<>();

	private final Map<KindName, KindLimit> kindLimits = new HashMap<>();

	DocumentChecker(String place, List<Finding> findings) {
		this.rootPlace = place + ": $";
		this.findings = findings;
	}

	void check(ConfigurationDocument document) {
		document.operations().ifPresent(this::checkOperations);
		document.product().ifPresent(this::checkProduct);
		document.product().ifPresent((product) -> document.operations().ifPresent((operations) -> {
			checkKindsAgainstServices(product, operations);
			checkLimitsAgainstKinds(product, operations);
		}));
	}

	private void checkProduct(ProductSection section) {
		Set<KindName> names = new HashSet<>();
		Map<String, KindName> kindsByPrefix = new HashMap<>();
		for (int i = 0; i < section.kinds().size(); i++) {
			KindDeclaration kind = section.kinds().get(i);
			String kindPlace = ".product.kinds[" + i + "]";
			if (!names.add(kind.name())) {
				addFinding(kindPlace + ".name", "kind is listed twice: " + kind.name());
			}
			KindName kindWithSamePrefix = kind.pathPrefix().isEmpty() ? null
					: kindsByPrefix.put(kind.pathPrefix(), kind.name());
			if (kindWithSamePrefix != null) {
				addFinding(kindPlace + ".pathPrefix", "path prefix already identifies kind " + kindWithSamePrefix);
			}
		}
		checkTenants(section);
	}

	private void checkTenants(ProductSection section) {
		Set<Object> names = new HashSet<>();
		for (int i = 0; i < section.tenants().size(); i++) {
			if (!names.add(section.tenants().get(i).name())) {
				addFinding(".product.tenants[" + i + "].name",
						"tenant is listed twice: " + section.tenants().get(i).name());
			}
		}
	}

	private void checkOperations(OperationsSection section) {
		for (int i = 0; i < section.services().size(); i++) {
			ServicePolicy service = section.services().get(i);
			if (this.services.put(service.name(), service) != null) {
				addFinding(".operations.services[" + i + "].name", "service is listed twice: " + service.name());
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
			addFinding(servicePlace + ".ceiling",
					"ceiling " + service.ceiling() + " is above the " + service.connections() + " connections");
		}
		if (service.slots() > service.connections()) {
			addFinding(servicePlace + ".slots",
					"slots " + service.slots() + " are above the " + service.connections() + " connections");
		}
		if (service.queueTime().compareTo(service.attemptDeadline()) > 0) {
			addFinding(servicePlace + ".queueTimeMilliseconds", "queue time is longer than the attempt deadline of "
					+ service.attemptDeadline().toMillis() + " ms");
		}
		for (ServiceName called : service.calls()) {
			checkCall(service, called, servicePlace + ".calls");
		}
		if (callDepth(service.name(), 0) > MAXIMUM_CALL_DEPTH) {
			addFinding(servicePlace + ".calls", "calls form a cycle or are more than " + MAXIMUM_CALL_DEPTH + " deep");
		}
	}

	private void checkCall(ServicePolicy service, ServiceName called, String callsPlace) {
		ServicePolicy calledPolicy = this.services.get(called);
		if (calledPolicy == null) {
			addFinding(callsPlace, "service is not declared: " + called);
		}
		else if (service.attemptDeadline().compareTo(calledPolicy.attemptDeadline()) < 0) {
			addFinding(callsPlace,
					"attempt deadline of " + service.attemptDeadline().toMillis()
							+ " ms is shorter than that of the nested call to " + called + ", "
							+ calledPolicy.attemptDeadline().toMillis() + " ms");
		}
	}

	// Returns the number of services on the longest call chain, including the
	// callers. The maximum call depth ends the recursion on a cycle.
	private int callDepth(ServiceName name, int callers) {
		ServicePolicy service = this.services.get(name);
		if (service == null || callers > MAXIMUM_CALL_DEPTH) {
			return callers;
		}
		int deepest = callers + 1;
		for (ServiceName called : service.calls()) {
			deepest = Math.max(deepest, callDepth(called, callers + 1));
		}
		return deepest;
	}

	private void checkLimits(OperationsSection section) {
		for (int i = 0; i < section.kindLimits().size(); i++) {
			KindLimit limit = section.kindLimits().get(i);
			String limitPlace = ".operations.kindLimits[" + i + "]";
			if (this.kindLimits.put(limit.kind(), limit) != null) {
				addFinding(limitPlace + ".kind", "kind is listed twice: " + limit.kind());
			}
			checkRetryAllowance(limit.retryAllowance(), section.maximumRetryAllowance(), limitPlace);
		}
		checkRetryAllowance(section.defaultLimit().retryAllowance(), section.maximumRetryAllowance(),
				".operations.defaultLimit");
	}

	private void checkRetryAllowance(int allowance, int maximum, String limitPlace) {
		if (allowance > maximum) {
			addFinding(limitPlace + ".retryAllowance", "allowance " + allowance
					+ " multiplies the attempts past the maximum retry allowance of " + maximum);
		}
	}

	private void checkFailureDomains(OperationsSection section) {
		if (section.failureDomains().isEmpty()) {
			addFinding(".operations.failureDomains", "expected at least one failure domain");
		}
		// "-" is the reader's placeholder for an invalid name.
		if (section.failureDomains().containsKey(new FailureDomain("-"))) {
			addFinding(".operations.failureDomains", "a failure domain has no valid name");
		}
	}

	private void checkKindsAgainstServices(ProductSection product, OperationsSection operations) {
		for (int i = 0; i < product.kinds().size(); i++) {
			KindDeclaration kind = product.kinds().get(i);
			String kindPlace = ".product.kinds[" + i + "]";
			ServicePolicy service = this.services.get(kind.entryService());
			if (service == null) {
				addFinding(kindPlace + ".entryService",
						"kind " + kind.name() + " has no service: " + kind.entryService() + " is not declared");
				continue;
			}
			KindLimit limit = this.kindLimits.get(kind.name());
			Duration deadline = (limit != null) ? limit.deadline() : operations.defaultLimit().deadline();
			if (deadline.compareTo(service.attemptDeadline()) < 0) {
				addFinding(kindPlace + ".name",
						"deadline of " + deadline.toMillis()
								+ " ms is shorter than the attempt deadline of its entry service, "
								+ service.attemptDeadline().toMillis() + " ms");
			}
		}
	}

	private void checkLimitsAgainstKinds(ProductSection product, OperationsSection operations) {
		Set<KindName> kinds = new HashSet<>();
		product.kinds().forEach((kind) -> kinds.add(kind.name()));
		for (int i = 0; i < operations.kindLimits().size(); i++) {
			KindName kind = operations.kindLimits().get(i).kind();
			if (!kinds.contains(kind)) {
				addFinding(".operations.kindLimits[" + i + "].kind", "kind is not declared: " + kind);
			}
		}
	}

	private void addFinding(String path, String message) {
		this.findings.add(new Finding(this.rootPlace + path, message));
	}

}
