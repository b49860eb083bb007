package org.wasabicart.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.wasabicart.core.model.ConfigurationSnapshot;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.RequestKind;
import org.wasabicart.core.model.Revision;

/**
 * Reads, checks and writes the JSON form of the configuration. Immutable and thread-safe.
 * <p>
 * Example:
 * {@code new ConfigurationFormat().readSnapshot("store", json, revision).kinds()}
 */
public final class ConfigurationFormat {

	private final ObjectMapper mapper = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(SerializationFeature.INDENT_OUTPUT)
		.build();

	/**
	 * Reads a configuration with both sections as a snapshot.
	 * @param place source of the JSON, which starts the place of each finding
	 * @param json the JSON in UTF-8
	 * @param revision revision of the configuration
	 * @return the snapshot
	 * @throws ConfigurationException if there is a finding
	 */
	public ConfigurationSnapshot readSnapshot(String place, byte[] json, Revision revision)
			throws ConfigurationException {
		return snapshot(place, parse(place, json), revision);
	}

	/**
	 * Reads a document with one or both sections and checks it.
	 * @param place source of the JSON, which starts the place of each finding
	 * @param json the JSON in UTF-8
	 * @return the document
	 * @throws ConfigurationException if there is a finding
	 */
	public ConfigurationDocument parse(String place, byte[] json) throws ConfigurationException {
		List<Finding> findings = new ArrayList<>();
		JsonNode tree = readTree(place, json);
		ConfigurationDocument document = new DocumentReader(findings).read(place, tree);
		new DocumentChecker(place, findings).check(document);
		throwIfAny(findings);
		return document;
	}

	/**
	 * Checks the references and limits of a document. Values of single fields are checked
	 * only when JSON is read.
	 * @param place source of the document, which starts the place of each finding
	 * @param document document
	 * @return the findings, empty if there are none
	 */
	public List<Finding> check(String place, ConfigurationDocument document) {
		List<Finding> findings = new ArrayList<>();
		new DocumentChecker(place, findings).check(document);
		return findings;
	}

	/**
	 * Writes a document.
	 * @param document document
	 * @return the JSON in UTF-8
	 */
	public byte[] write(ConfigurationDocument document) {
		try {
			return this.mapper.writeValueAsBytes(new DocumentWriter().write(document));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A JSON tree could not be written", ex);
		}
	}

	/**
	 * Merges both sections of a document into a snapshot.
	 * @param place source of the document, which starts the place of each finding
	 * @param document document with both sections
	 * @param revision revision of the configuration
	 * @return the snapshot
	 * @throws ConfigurationException if a section is missing
	 */
	public ConfigurationSnapshot snapshot(String place, ConfigurationDocument document, Revision revision)
			throws ConfigurationException {
		List<Finding> findings = new ArrayList<>();
		if (document.product().isEmpty()) {
			findings.add(new Finding(place + ": $.product", "section is missing"));
		}
		if (document.operations().isEmpty()) {
			findings.add(new Finding(place + ": $.operations", "section is missing"));
		}
		throwIfAny(findings);
		ProductSection product = document.product().orElseThrow();
		OperationsSection operations = document.operations().orElseThrow();
		return new ConfigurationSnapshot(revision, mergeKinds(product, operations), operations.services(),
				product.tenants(), operations.failureDomains());
	}

	private List<RequestKind> mergeKinds(ProductSection product, OperationsSection operations) {
		Map<KindName, KindLimit> limits = new HashMap<>();
		operations.kindLimits().forEach((limit) -> limits.put(limit.kind(), limit));
		List<RequestKind> kinds = new ArrayList<>();
		for (KindDeclaration kind : product.kinds()) {
			DefaultLimit defaultLimit = operations.defaultLimit();
			KindLimit limit = limits.getOrDefault(kind.name(),
					new KindLimit(kind.name(), defaultLimit.deadline(), defaultLimit.retryAllowance()));
			kinds.add(new RequestKind(kind.name(), kind.importance(), kind.credit(), kind.execution(),
					kind.entryService(), kind.pathPrefix(), limit.deadline(), limit.retryAllowance()));
		}
		return kinds;
	}

	private JsonNode readTree(String place, byte[] json) throws ConfigurationException {
		try {
			return this.mapper.readTree(json);
		}
		catch (JsonProcessingException ex) {
			String location = (ex.getLocation() != null)
					? ":" + ex.getLocation().getLineNr() + ":" + ex.getLocation().getColumnNr() : "";
			throw new ConfigurationException(List.of(new Finding(place + location, ex.getOriginalMessage())));
		}
		catch (IOException ex) {
			throw new ConfigurationException(List.of(new Finding(place, "cannot be read: " + ex.getMessage())));
		}
	}

	private static void throwIfAny(List<Finding> findings) throws ConfigurationException {
		if (!findings.isEmpty()) {
			throw new ConfigurationException(findings);
		}
	}

}
