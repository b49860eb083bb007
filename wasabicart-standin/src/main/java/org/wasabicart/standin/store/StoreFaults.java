package org.wasabicart.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.standin.http.Json;

/**
 * Faults that the store stand-in injects.
 *
 * @param delayMilliseconds delay of each response
 * @param down whether each call is answered with status 503; open watches are ended
 * @param silent whether calls are accepted but never executed or answered
 * @param loseWriteResponses number of further writes, calls for leases included, that
 * take effect but get no response; negative for all
 * @param staleReads whether range reads return the state at the time this fault was set
 */
public record StoreFaults(long delayMilliseconds, boolean down, boolean silent, int loseWriteResponses,
		boolean staleReads) {

	/** No fault. */
	public static final StoreFaults NONE = new StoreFaults(0, false, false, 0, false);

	StoreFaults with(JsonNode change) {
		return new StoreFaults(change.path("delayMilliseconds").asLong(this.delayMilliseconds),
				change.path("down").asBoolean(this.down), change.path("silent").asBoolean(this.silent),
				change.path("loseWriteResponses").asInt(this.loseWriteResponses),
				change.path("staleReads").asBoolean(this.staleReads));
	}

	StoreFaults withLoseWriteResponses(int count) {
		return new StoreFaults(this.delayMilliseconds, this.down, this.silent, count, this.staleReads);
	}

	ObjectNode toJson() {
		return Json.object()
			.put("delayMilliseconds", this.delayMilliseconds)
			.put("down", this.down)
			.put("silent", this.silent)
			.put("loseWriteResponses", this.loseWriteResponses)
			.put("staleReads", this.staleReads);
	}

}
