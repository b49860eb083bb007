package org.wasabicart.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.core.model.Revision;

/**
 * Requests and responses of the store's JSON gateway. Keys and values are in Base64, and
 * 64-bit numbers are texts.
 */
final class GatewayJson {

	private final ObjectMapper mapper = new ObjectMapper();

	byte[] range(String key) {
		return write(object().put("key", encode(key)));
	}

	byte[] rangeOfPrefix(String prefix) {
		return write(
				object().put("key", encode(prefix)).put("range_end", Base64.getEncoder().encodeToString(end(prefix))));
	}

	byte[] compareAndSwap(String key, Revision expected, byte[] value, Optional<LeaseId> lease) {
		ObjectNode root = object();
		root.putArray("compare")
			.addObject()
			.put("key", encode(key))
			.put("target", "MOD")
			.put("result", "EQUAL")
			.put("mod_revision", Long.toString(expected.value()));
		ObjectNode put = root.putArray("success").addObject().putObject("requestPut");
		put.put("key", encode(key)).put("value", Base64.getEncoder().encodeToString(value));
		lease.ifPresent((id) -> put.put("lease", Long.toString(id.value())));
		root.putArray("failure").addObject().putObject("requestRange").put("key", encode(key));
		return write(root);
	}

	byte[] grantLease(Duration timeToLive) {
		return write(object().put("TTL", Long.toString(timeToLive.toSeconds())));
	}

	byte[] lease(LeaseId lease) {
		return write(object().put("ID", Long.toString(lease.value())));
	}

	byte[] watch(String key, Revision after) {
		ObjectNode root = object();
		root.putObject("create_request")
			.put("key", encode(key))
			.put("start_revision", Long.toString(after.value() + 1));
		return write(root);
	}

	List<StoredValue> readRange(byte[] json) throws IOException {
		return readValues(this.mapper.readTree(json));
	}

	SwapResult readSwap(byte[] json) throws IOException {
		JsonNode root = this.mapper.readTree(json);
		if (root.path("succeeded").asBoolean(false)) {
			return new SwapResult.Swapped(new Revision(root.path("header").path("revision").asLong()));
		}
		JsonNode range = root.path("responses").path(0).path("response_range");
		return new SwapResult.Conflict(readValues(range).stream().findFirst());
	}

	LeaseId readLease(byte[] json) throws IOException {
		JsonNode id = this.mapper.readTree(json).path("ID");
		if (id.isMissingNode()) {
			throw new IOException("The store granted no lease");
		}
		return new LeaseId(id.asLong());
	}

	Duration readKeepAlive(byte[] json) throws IOException {
		return Duration.ofSeconds(this.mapper.readTree(json).path("result").path("TTL").asLong());
	}

	List<StoredValue> readWatch(byte[] json) throws IOException {
		JsonNode result = this.mapper.readTree(json).path("result");
		if (result.path("canceled").asBoolean(false)) {
			throw new IOException("The store cancelled the watch: " + result.path("cancel_reason").asText());
		}
		List<StoredValue> values = new ArrayList<>();
		for (JsonNode event : result.path("events")) {
			if (!"DELETE".equals(event.path("type").asText())) {
				values.add(readValue(event.path("kv")));
			}
		}
		return values;
	}

	private List<StoredValue> readValues(JsonNode range) {
		List<StoredValue> values = new ArrayList<>();
		for (JsonNode entry : range.path("kvs")) {
			values.add(readValue(entry));
		}
		return values;
	}

	private StoredValue readValue(JsonNode entry) {
		byte[] key = Base64.getDecoder().decode(entry.path("key").asText());
		byte[] value = Base64.getDecoder().decode(entry.path("value").asText());
		Revision revision = new Revision(entry.path("mod_revision").asLong());
		return new StoredValue(new String(key, StandardCharsets.UTF_8), value, revision);
	}

	private ObjectNode object() {
		return this.mapper.createObjectNode();
	}

	private byte[] write(ObjectNode node) {
		return node.toString().getBytes(StandardCharsets.UTF_8);
	}

	private static String encode(String key) {
		return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
	}

	private static byte[] end(String prefix) {
		byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
		bytes[bytes.length - 1]++;
		return bytes;
	}

}
