package org.wasabicart.standin.store;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.standin.http.Json;

/**
 * Formats messages as etcd's JSON gateway does: 64-bit numbers are strings, and fields
 * with their default value are omitted.
 */
final class StoreFormat {

	private StoreFormat() {
	}

	static ObjectNode messageWithHeader(long revision) {
		ObjectNode message = Json.object();
		message.putObject("header")
			.put("cluster_id", "1")
			.put("member_id", "1")
			.put("revision", Long.toString(revision))
			.put("raft_term", "2");
		return message;
	}

	static ObjectNode rangeResponse(long revision, List<KeyValue> values, long limit) {
		ObjectNode message = messageWithHeader(revision);
		if (!values.isEmpty()) {
			ArrayNode entries = message.putArray("kvs");
			long included = (limit > 0) ? limit : values.size();
			values.stream().limit(included).forEach((value) -> entries.add(keyValue(value)));
			if (included < values.size()) {
				message.put("more", true);
			}
			message.put("count", Integer.toString(values.size()));
		}
		return message;
	}

	static ObjectNode keyValue(KeyValue value) {
		ObjectNode entry = Json.object().put("key", value.key());
		if (value.deleted()) {
			return entry.put("mod_revision", Long.toString(value.modRevision()));
		}
		entry.put("create_revision", Long.toString(value.createRevision()));
		entry.put("mod_revision", Long.toString(value.modRevision()));
		entry.put("version", Long.toString(value.version()));
		if (!value.value().isEmpty()) {
			entry.put("value", value.value());
		}
		if (value.lease() != 0) {
			entry.put("lease", Long.toString(value.lease()));
		}
		return entry;
	}

	static ObjectNode watchCreated(long revision) {
		ObjectNode result = Json.object();
		result.set("result", messageWithHeader(revision).put("created", true));
		return result;
	}

	static ObjectNode watchEvents(long revision, List<KeyValue> changes) {
		ObjectNode message = messageWithHeader(revision);
		ArrayNode events = message.putArray("events");
		for (KeyValue change : changes) {
			ObjectNode event = events.addObject();
			if (change.deleted()) {
				event.put("type", "DELETE");
			}
			event.set("kv", keyValue(change));
		}
		ObjectNode result = Json.object();
		result.set("result", message);
		return result;
	}

	// The code is a gRPC status code, as in etcd's JSON gateway.
	static ObjectNode error(int code, String description) {
		return Json.object().put("error", description).put("code", code).put("message", description);
	}

}
