package org.wasabicart.standin.store;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.standin.http.Json;

/**
 * Writes messages as the published JSON gateway does: 64-bit numbers are text, and fields
 * with their default value are left out.
 */
final class StoreFormat {

	private StoreFormat() {
	}

	static ObjectNode withHeader(long revision) {
		ObjectNode message = Json.object();
		message.putObject("header")
			.put("cluster_id", "1")
			.put("member_id", "1")
			.put("revision", Long.toString(revision))
			.put("raft_term", "2");
		return message;
	}

	static ObjectNode range(long revision, List<KeyValue> values, long limit) {
		ObjectNode message = withHeader(revision);
		if (!values.isEmpty()) {
			ArrayNode entries = message.putArray("kvs");
			long shown = (limit > 0) ? limit : values.size();
			values.stream().limit(shown).forEach((value) -> entries.add(keyValue(value)));
			if (shown < values.size()) {
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
		result.set("result", withHeader(revision).put("created", true));
		return result;
	}

	static ObjectNode watchEvents(long revision, List<KeyValue> changes) {
		ObjectNode message = withHeader(revision);
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

	static ObjectNode error(int code, String text) {
		return Json.object().put("error", text).put("code", code).put("message", text);
	}

}
