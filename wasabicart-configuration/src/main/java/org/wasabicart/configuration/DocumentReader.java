package org.wasabicart.configuration;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.RequestKind;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.ServicePolicy;
import org.wasabicart.core.model.TenantName;
import org.wasabicart.core.model.TenantPolicy;

/**
 * Reads a document from its JSON tree and collects all findings of single fields.
 */
final class DocumentReader {

	static final int FORMAT = 1;

	private static final long MAXIMUM_MILLISECONDS = 3_600_000;

	private static final int MAXIMUM_COUNT = 1_000_000;

	private static final int MAXIMUM_ALLOWANCE = 16;

	private static final double MAXIMUM_CREDIT = 1e9;

	private static final KindName NO_KIND = new KindName("-");

	private static final ServiceName NO_SERVICE = new ServiceName("-");

	private final List<Finding> findings;

	DocumentReader(List<Finding> findings) {
		this.findings = findings;
	}

	ConfigurationDocument read(String place, JsonNode tree) {
		FieldReader root = new FieldReader(tree, place + ": $", this.findings);
		root.wholeNumber("format", FORMAT, FORMAT);
		Optional<ProductSection> product = root.has("product") ? Optional.of(readProduct(root.object("product")))
				: Optional.empty();
		Optional<OperationsSection> operations = root.has("operations")
				? Optional.of(readOperations(root.object("operations"))) : Optional.empty();
		if (product.isEmpty() && operations.isEmpty() && tree.isObject()) {
			this.findings.add(new Finding(place + ": $", "expected a section \"product\" or \"operations\""));
		}
		root.rejectUnknownFields();
		return new ConfigurationDocument(product, operations);
	}

	private ProductSection readProduct(FieldReader section) {
		SectionHeader header = readHeader(section);
		List<KindDeclaration> kinds = section.list("kinds", this::readKind);
		List<TenantPolicy> tenants = section.list("tenants", this::readTenant);
		section.rejectUnknownFields();
		return new ProductSection(header, kinds, tenants);
	}

	private OperationsSection readOperations(FieldReader section) {
		SectionHeader header = readHeader(section);
		List<ServicePolicy> services = section.list("services", this::readService);
		List<KindLimit> limits = section.list("kindLimits", this::readKindLimit);
		DefaultLimit defaultLimit = readDefaultLimit(section.object("defaultLimit"));
		int maximum = (int) section.wholeNumber("maximumRetryAllowance", 0, MAXIMUM_ALLOWANCE);
		Map<FailureDomain, RegionName> failureDomains = readFailureDomains(section);
		NetworkDeclaration network = readNetwork(section.object("network"));
		section.rejectUnknownFields();
		return new OperationsSection(header, services, limits, defaultLimit, maximum, failureDomains, network);
	}

	private SectionHeader readHeader(FieldReader section) {
		String author = section.text("author", "-");
		long base = section.has("baseRevision") ? section.wholeNumber("baseRevision", 0, Long.MAX_VALUE) : 0;
		return new SectionHeader(author, new Revision(base), section.optionalNames("changes", this::changeId));
	}

	private String changeId(String text) {
		return new KindName(text).value();
	}

	private KindDeclaration readKind(FieldReader kind) {
		KindName name = kind.name("name", KindName::new, NO_KIND);
		int importance = (int) kind.wholeNumber("importance", 0, RequestKind.MAXIMUM_IMPORTANCE);
		double credit = kind.decimal("credit", 0, MAXIMUM_CREDIT);
		Execution execution = readExecution(kind);
		ServiceName service = kind.name("entryService", ServiceName::new, NO_SERVICE);
		String prefix = kind.optionalText("pathPrefix");
		if (!prefix.isEmpty() && !prefix.startsWith("/")) {
			kind.add("pathPrefix", "expected a path that begins with \"/\", found \"" + prefix + "\"");
		}
		return new KindDeclaration(name, importance, credit, execution, service, prefix);
	}

	private Execution readExecution(FieldReader kind) {
		String text = kind.text("execution", "idempotent");
		switch (text) {
			case "idempotent":
				return Execution.IDEMPOTENT;
			case "order":
				return Execution.ORDER;
			default:
				kind.add("execution", "expected \"idempotent\" or \"order\", found \"" + text + "\"");
				return Execution.ORDER;
		}
	}

	private TenantPolicy readTenant(FieldReader tenant) {
		TenantName name = tenant.name("name", TenantName::new, new TenantName("-"));
		return new TenantPolicy(name, tenant.decimal("share", 0.001, MAXIMUM_COUNT));
	}

	private ServicePolicy readService(FieldReader service) {
		ServiceName name = service.name("name", ServiceName::new, NO_SERVICE);
		int ceiling = (int) service.wholeNumber("ceiling", 1, MAXIMUM_COUNT);
		int slots = (int) service.wholeNumber("slots", 1, MAXIMUM_COUNT);
		int connections = (int) service.wholeNumber("connections", 1, MAXIMUM_COUNT);
		double budget = service.decimal("retryBudgetRatio", 0, 1);
		Duration queueTime = service.milliseconds("queueTimeMilliseconds", 0, MAXIMUM_MILLISECONDS);
		long queueBytes = service.wholeNumber("queueBytes", 0, Integer.MAX_VALUE);
		Duration attemptDeadline = service.milliseconds("attemptDeadlineMilliseconds", 1, MAXIMUM_MILLISECONDS);
		List<ServiceName> calls = service.optionalNames("calls", ServiceName::new);
		return new ServicePolicy(name, ceiling, slots, connections, budget, queueTime, queueBytes, attemptDeadline,
				new LinkedHashSet<>(calls));
	}

	private KindLimit readKindLimit(FieldReader limit) {
		KindName kind = limit.name("kind", KindName::new, NO_KIND);
		Duration deadline = limit.milliseconds("deadlineMilliseconds", 1, MAXIMUM_MILLISECONDS);
		return new KindLimit(kind, deadline, (int) limit.wholeNumber("retryAllowance", 0, MAXIMUM_ALLOWANCE));
	}

	private DefaultLimit readDefaultLimit(FieldReader limit) {
		Duration deadline = limit.milliseconds("deadlineMilliseconds", 1, MAXIMUM_MILLISECONDS);
		int allowance = (int) limit.wholeNumber("retryAllowance", 0, MAXIMUM_ALLOWANCE);
		limit.rejectUnknownFields();
		return new DefaultLimit(deadline, allowance);
	}

	private Map<FailureDomain, RegionName> readFailureDomains(FieldReader section) {
		Map<FailureDomain, RegionName> result = new LinkedHashMap<>();
		section.list("failureDomains", (entry) -> {
			FailureDomain name = entry.name("name", FailureDomain::new, new FailureDomain("-"));
			RegionName region = entry.name("region", RegionName::new, new RegionName("-"));
			if (result.put(name, region) != null) {
				entry.add("name", "failure domain is listed twice: " + name);
			}
			return name;
		});
		return result;
	}

	private NetworkDeclaration readNetwork(FieldReader network) {
		double rate = network.decimal("regionLinkMegabitsPerSecond", 0.001, MAXIMUM_COUNT);
		Duration domains = readDelay(network, "delayBetweenFailureDomainsMilliseconds");
		Duration regions = readDelay(network, "delayBetweenRegionsMilliseconds");
		Duration clients = readDelay(network, "delayToClientsMilliseconds");
		network.rejectUnknownFields();
		return new NetworkDeclaration(rate, domains, regions, clients);
	}

	private Duration readDelay(FieldReader network, String field) {
		double milliseconds = network.decimal(field, 0, MAXIMUM_MILLISECONDS);
		return Duration.ofNanos(Math.round(milliseconds * Duration.ofMillis(1).toNanos()));
	}

}
