package org.wasabicart.configuration;

import java.time.Duration;
import java.util.Locale;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.core.model.ServicePolicy;
import org.wasabicart.core.model.TenantPolicy;

/**
 * Writes a document as a JSON tree with its fields in a fixed order.
 */
final class DocumentWriter {

	private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

	JsonNode write(ConfigurationDocument document) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		root.put("format", DocumentReader.FORMAT_VERSION);
		document.product().ifPresent((section) -> root.set("product", writeProduct(section)));
		document.operations().ifPresent((section) -> root.set("operations", writeOperations(section)));
		return root;
	}

	private ObjectNode writeHeader(SectionHeader header) {
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		result.put("author", header.author());
		result.put("baseRevision", header.baseRevision().value());
		ArrayNode changes = result.putArray("changes");
		header.changes().forEach(changes::add);
		return result;
	}

	private ObjectNode writeProduct(ProductSection section) {
		ObjectNode result = writeHeader(section.header());
		ArrayNode kinds = result.putArray("kinds");
		section.kinds().forEach((kind) -> writeKind(kinds.addObject(), kind));
		ArrayNode tenants = result.putArray("tenants");
		section.tenants().forEach((tenant) -> writeTenant(tenants.addObject(), tenant));
		return result;
	}

	private void writeKind(ObjectNode node, KindDeclaration kind) {
		node.put("name", kind.name().value());
		node.put("importance", kind.importance());
		node.put("credit", kind.credit());
		node.put("execution", kind.execution().name().toLowerCase(Locale.ROOT));
		node.put("entryService", kind.entryService().value());
		if (!kind.pathPrefix().isEmpty()) {
			node.put("pathPrefix", kind.pathPrefix());
		}
	}

	private void writeTenant(ObjectNode node, TenantPolicy tenant) {
		node.put("name", tenant.name().value());
		node.put("share", tenant.share());
	}

	private ObjectNode writeOperations(OperationsSection section) {
		ObjectNode result = writeHeader(section.header());
		ArrayNode services = result.putArray("services");
		section.services().forEach((service) -> writeService(services.addObject(), service));
		ArrayNode limits = result.putArray("kindLimits");
		section.kindLimits().forEach((limit) -> {
			ObjectNode node = limits.addObject();
			node.put("kind", limit.kind().value());
			writeLimit(node, limit.deadline(), limit.retryAllowance());
		});
		DefaultLimit defaultLimit = section.defaultLimit();
		writeLimit(result.putObject("defaultLimit"), defaultLimit.deadline(), defaultLimit.retryAllowance());
		result.put("maximumRetryAllowance", section.maximumRetryAllowance());
		ArrayNode domains = result.putArray("failureDomains");
		new TreeMap<>(section.failureDomains())
			.forEach((name, region) -> domains.addObject().put("name", name.value()).put("region", region.value()));
		writeNetwork(result.putObject("network"), section.network());
		return result;
	}

	private void writeService(ObjectNode node, ServicePolicy service) {
		node.put("name", service.name().value());
		node.put("ceiling", service.ceiling());
		node.put("slots", service.slots());
		node.put("connections", service.connections());
		node.put("retryBudgetRatio", service.retryBudgetRatio());
		node.put("queueTimeMilliseconds", service.queueTime().toMillis());
		node.put("queueBytes", service.queueBytes());
		node.put("attemptDeadlineMilliseconds", service.attemptDeadline().toMillis());
		ArrayNode calls = node.putArray("calls");
		service.calls().stream().sorted().forEach((called) -> calls.add(called.value()));
	}

	private void writeLimit(ObjectNode node, Duration deadline, int retryAllowance) {
		node.put("deadlineMilliseconds", deadline.toMillis());
		node.put("retryAllowance", retryAllowance);
	}

	private void writeNetwork(ObjectNode node, NetworkDeclaration network) {
		node.put("regionLinkMegabitsPerSecond", network.regionLinkMegabitsPerSecond());
		node.put("delayBetweenFailureDomainsMilliseconds", toMilliseconds(network.delayBetweenFailureDomains()));
		node.put("delayBetweenRegionsMilliseconds", toMilliseconds(network.delayBetweenRegions()));
		node.put("delayToClientsMilliseconds", toMilliseconds(network.delayToClients()));
	}

	private double toMilliseconds(Duration duration) {
		return duration.toNanos() / NANOSECONDS_PER_MILLISECOND;
	}

}
