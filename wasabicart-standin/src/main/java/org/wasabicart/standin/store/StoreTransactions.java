package org.wasabicart.standin.store;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Runs transactions: evaluates the comparisons, then applies the operations for success
 * or for failure.
 */
final class StoreTransactions {

	private final StoreState state;

	StoreTransactions(StoreState state) {
		this.state = state;
	}

	ObjectNode run(JsonNode request) {
		synchronized (this.state) {
			boolean succeeded = true;
			for (JsonNode compare : request.path("compare")) {
				succeeded &= holds(compare);
			}
			JsonNode operations = request.path(succeeded ? "success" : "failure");
			long revision = this.state.write(writes(operations));
			ObjectNode message = StoreFormat.messageWithHeader(revision);
			if (succeeded) {
				message.put("succeeded", true);
			}
			if (!operations.isEmpty()) {
				ArrayNode responses = message.putArray("responses");
				operations.forEach((operation) -> responses.add(operationResponse(operation, revision)));
			}
			return message;
		}
	}

	private boolean holds(JsonNode compare) {
		KeyValue current = this.state.currentValue(compare.path("key").asText());
		String target = compare.path("target").asText("VERSION");
		int comparison = switch (target) {
			case "MOD" -> Long.compare((current != null) ? current.modRevision() : 0,
					JsonFields.number(compare, "mod_revision", "modRevision"));
			case "CREATE" -> Long.compare((current != null) ? current.createRevision() : 0,
					JsonFields.number(compare, "create_revision", "createRevision"));
			case "VERSION" -> Long.compare((current != null) ? current.version() : 0,
					JsonFields.number(compare, "version", "version"));
			case "VALUE" -> ((current != null) ? current.value() : "").compareTo(compare.path("value").asText(""));
			case "LEASE" ->
				Long.compare((current != null) ? current.lease() : 0, JsonFields.number(compare, "lease", "lease"));
			default -> throw new IllegalArgumentException("Unknown comparison target: " + target);
		};
		String expected = compare.path("result").asText("EQUAL");
		return switch (expected) {
			case "EQUAL" -> comparison == 0;
			case "NOT_EQUAL" -> comparison != 0;
			case "GREATER" -> comparison > 0;
			case "LESS" -> comparison < 0;
			default -> throw new IllegalArgumentException("Unknown comparison result: " + expected);
		};
	}

	private List<StoreState.Write> writes(JsonNode operations) {
		List<StoreState.Write> writes = new ArrayList<>();
		for (JsonNode operation : operations) {
			JsonNode put = JsonFields.field(operation, "request_put", "requestPut");
			JsonNode delete = JsonFields.field(operation, "request_delete_range", "requestDeleteRange");
			if (!put.isMissingNode()) {
				writes.add(putWrite(put));
			}
			else if (!delete.isMissingNode()) {
				writes.addAll(deleteWrites(delete));
			}
		}
		return writes;
	}

	StoreState.Write putWrite(JsonNode put) {
		long lease = put.path("lease").asLong(0);
		if (!this.state.isZeroOrExistingLease(lease)) {
			throw new IllegalArgumentException("etcdserver: requested lease not found");
		}
		return new StoreState.Write(put.path("key").asText(), put.path("value").asText(""), lease);
	}

	List<StoreState.Write> deleteWrites(JsonNode delete) {
		return this.state.readCurrent(KeyRange.of(delete))
			.stream()
			.map((value) -> new StoreState.Write(value.key(), null, 0))
			.toList();
	}

	private ObjectNode operationResponse(JsonNode operation, long revision) {
		ObjectNode response = StoreFormat.messageWithHeader(revision).objectNode();
		JsonNode range = JsonFields.field(operation, "request_range", "requestRange");
		if (!range.isMissingNode()) {
			List<KeyValue> found = this.state.readCurrent(KeyRange.of(range));
			response.set("response_range", StoreFormat.rangeResponse(revision, found, range.path("limit").asLong(0)));
		}
		else if (operation.has("request_put") || operation.has("requestPut")) {
			response.set("response_put", StoreFormat.messageWithHeader(revision));
		}
		else {
			response.set("response_delete_range", StoreFormat.messageWithHeader(revision));
		}
		return response;
	}

}
