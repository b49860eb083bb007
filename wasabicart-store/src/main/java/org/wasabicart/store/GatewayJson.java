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
 * Creates the requests of the store's JSON gateway and reads its responses. Keys and
 * values are encoded in Base64, and 64-bit integers are strings.
 */
final class GatewayJson {

	private final ObjectMapper mapper = new ObjectMapper();

	byte[] rangeRequest(String key) {
		return toBytes(newObject().put("key", encodeKey(key)));
	}

	byte[] prefixRangeRequest(String prefix) {
		return toBytes(newObject().put("key", encodeKey(prefix))
			.put("range_end", Base64.getEncoder().encodeToString(rangeEnd(prefix))));
	}

	byte[] compareAndSwapRequest(String key, Revision expected, byte[] value, Optional<LeaseId> lease) {
		ObjectNode root = newObject();
		root.putArray("compare")
			.addObject()
			.put("key", encodeKey(key))
			.put("target", "MOD")
			.put("result", "EQUAL")
			.put("mod_revision", Long.toString(expected.value()));
		ObjectNode put = root.putArray("success").addObject().putObject("requestPut");
		put.put("key", encodeKey(key)).put("value", Base64.getEncoder().encodeToString(value));
		lease.ifPresent((id) -> put.put("lease", Long.toString(id.value())));
		root.putArray("failure").addObject().putObject("requestRange").put("key", encodeKey(key));
		return toBytes(root);
	}

	byte[] grantLeaseRequest(Duration timeToLive) {
		return toBytes(newObject().put("TTL", Long.toString(timeToLive.toSeconds())));
	}

	byte[] leaseRequest(LeaseId lease) {
		return toBytes(newObject().put("ID", Long.toString(lease.value())));
	}

	byte[] watchRequest(String key, Revision after) {
		ObjectNode root = newObject();
		root.putObject("create_request")
			.put("key", encodeKey(key))
			.put("start_revision", Long.toString(after.value() + 1));
		return toBytes(root);
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
			throw new IOException("The response to a lease request has no ID");
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

	private ObjectNode newObject() {
		return this.mapper.createObjectNode();
	}

	private byte[] toBytes(ObjectNode node) {
		return node.toString().getBytes(StandardCharsets.UTF_8);
	}

	private static String encodeKey(String key) {
		return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
	}

	// Returns the exclusive end of the range of keys that start with the prefix.
	private static byte[] rangeEnd(String prefix) {
		byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
		bytes[bytes.length - 1]++;
		return bytes;
	}

}
