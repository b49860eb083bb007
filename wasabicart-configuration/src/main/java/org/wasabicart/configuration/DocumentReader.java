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
 * Reads a document from its JSON tree and adds a finding for each invalid field.
 */
final class DocumentReader {

	static final int FORMAT_VERSION = 1;

	private static final long MAXIMUM_MILLISECONDS = 3_600_000;

	/** Upper bound of counts, tenant shares and the rate of the region link. */
	private static final int MAXIMUM_COUNT = 1_000_000;

	private static final int MAXIMUM_RETRY_ALLOWANCE = 16;

	private static final double MAXIMUM_CREDIT = 1e9;

	private static final KindName KIND_PLACEHOLDER = new KindName("-");

	private static final ServiceName SERVICE_PLACEHOLDER = new ServiceName("-");

	private final List<Finding> findings;

	DocumentReader(List<Finding> findings) {
		this.findings = findings;
	}

	ConfigurationDocument read(String place, JsonNode tree) {
		FieldReader root = new FieldReader(tree, place + ": $", this.findings);
		root.wholeNumber("format", FORMAT_VERSION, FORMAT_VERSION);
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
		int maximumRetryAllowance = (int) section.wholeNumber("maximumRetryAllowance", 0, MAXIMUM_RETRY_ALLOWANCE);
		Map<FailureDomain, RegionName> failureDomains = readFailureDomains(section);
		NetworkDeclaration network = readNetwork(section.object("network"));
		section.rejectUnknownFields();
		return new OperationsSection(header, services, limits, defaultLimit, maximumRetryAllowance, failureDomains,
				network);
	}

	private SectionHeader readHeader(FieldReader section) {
		String author = section.text("author", "-");
		long baseRevision = section.has("baseRevision") ? section.wholeNumber("baseRevision", 0, Long.MAX_VALUE) : 0;
		return new SectionHeader(author, new Revision(baseRevision),
				section.optionalNames("changes", this::parseChangeId));
	}

	private String parseChangeId(String text) {
		// A change id has the same format as a kind name.
		return new KindName(text).value();
	}

	private KindDeclaration readKind(FieldReader kind) {
		KindName name = kind.name("name", KindName::new, KIND_PLACEHOLDER);
		int importance = (int) kind.wholeNumber("importance", 0, RequestKind.MAXIMUM_IMPORTANCE);
		double credit = kind.decimal("credit", 0, MAXIMUM_CREDIT);
		Execution execution = readExecution(kind);
		ServiceName service = kind.name("entryService", ServiceName::new, SERVICE_PLACEHOLDER);
		String prefix = kind.optionalText("pathPrefix");
		if (!prefix.isEmpty() && !prefix.startsWith("/")) {
			kind.addFinding("pathPrefix", "expected a path that begins with \"/\", found \"" + prefix + "\"");
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
				kind.addFinding("execution", "expected \"idempotent\" or \"order\", found \"" + text + "\"");
				return Execution.ORDER;
		}
	}

	private TenantPolicy readTenant(FieldReader tenant) {
		TenantName name = tenant.name("name", TenantName::new, new TenantName("-"));
		return new TenantPolicy(name, tenant.decimal("share", 0.001, MAXIMUM_COUNT));
	}

	private ServicePolicy readService(FieldReader service) {
		ServiceName name = service.name("name", ServiceName::new, SERVICE_PLACEHOLDER);
		int ceiling = (int) service.wholeNumber("ceiling", 1, MAXIMUM_COUNT);
		int slots = (int) service.wholeNumber("slots", 1, MAXIMUM_COUNT);
		int connections = (int) service.wholeNumber("connections", 1, MAXIMUM_COUNT);
		double retryBudgetRatio = service.decimal("retryBudgetRatio", 0, 1);
		Duration queueTime = service.milliseconds("queueTimeMilliseconds", 0, MAXIMUM_MILLISECONDS);
		long queueBytes = service.wholeNumber("queueBytes", 0, Integer.MAX_VALUE);
		Duration attemptDeadline = service.milliseconds("attemptDeadlineMilliseconds", 1, MAXIMUM_MILLISECONDS);
		List<ServiceName> calls = service.optionalNames("calls", ServiceName::new);
		return new ServicePolicy(name, ceiling, slots, connections, retryBudgetRatio, queueTime, queueBytes,
				attemptDeadline, new LinkedHashSet<>(calls));
	}

	private KindLimit readKindLimit(FieldReader limit) {
		KindName kind = limit.name("kind", KindName::new, KIND_PLACEHOLDER);
		Duration deadline = limit.milliseconds("deadlineMilliseconds", 1, MAXIMUM_MILLISECONDS);
		return new KindLimit(kind, deadline, (int) limit.wholeNumber("retryAllowance", 0, MAXIMUM_RETRY_ALLOWANCE));
	}

	private DefaultLimit readDefaultLimit(FieldReader limit) {
		Duration deadline = limit.milliseconds("deadlineMilliseconds", 1, MAXIMUM_MILLISECONDS);
		int retryAllowance = (int) limit.wholeNumber("retryAllowance", 0, MAXIMUM_RETRY_ALLOWANCE);
		limit.rejectUnknownFields();
		return new DefaultLimit(deadline, retryAllowance);
	}

	private Map<FailureDomain, RegionName> readFailureDomains(FieldReader section) {
		Map<FailureDomain, RegionName> result = new LinkedHashMap<>();
		section.list("failureDomains", (entry) -> {
			FailureDomain name = entry.name("name", FailureDomain::new, new FailureDomain("-"));
			RegionName region = entry.name("region", RegionName::new, new RegionName("-"));
			if (result.put(name, region) != null) {
				entry.addFinding("name", "failure domain is listed twice: " + name);
			}
			return name;
		});
		return result;
	}

	private NetworkDeclaration readNetwork(FieldReader network) {
		double regionLinkRate = network.decimal("regionLinkMegabitsPerSecond", 0.001, MAXIMUM_COUNT);
		Duration failureDomainDelay = readDelay(network, "delayBetweenFailureDomainsMilliseconds");
		Duration regionDelay = readDelay(network, "delayBetweenRegionsMilliseconds");
		Duration clientDelay = readDelay(network, "delayToClientsMilliseconds");
		network.rejectUnknownFields();
		return new NetworkDeclaration(regionLinkRate, failureDomainDelay, regionDelay, clientDelay);
	}

	private Duration readDelay(FieldReader network, String field) {
		double milliseconds = network.decimal(field, 0, MAXIMUM_MILLISECONDS);
		return Duration.ofNanos(Math.round(milliseconds * Duration.ofMillis(1).toNanos()));
	}

}
