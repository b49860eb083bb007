package org.wasabicart.standin.store;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

import org.wasabicart.standin.http.Json;

/**
 * Open watches. Each is a response that streams one JSON message per line.
 */
final class StoreWatches {

	// Number of messages that a reader may fall behind before its watch fails.
	private static final int MAXIMUM_QUEUED_MESSAGES = 4096;

	private final StoreState state;

	private final StoreCounts counts;

	private final Materializer materializer;

	private final Map<WatchListener, BoundedSourceQueue<ByteString>> open = new ConcurrentHashMap<>();

	StoreWatches(StoreState state, StoreCounts counts, Materializer materializer) {
		this.state = state;
		this.counts = counts;
		this.materializer = materializer;
	}

	HttpResponse open(JsonNode request) {
		JsonNode create = JsonFields.field(request, "create_request", "createRequest");
		Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> stream = Source
			.<ByteString>queue(MAXIMUM_QUEUED_MESSAGES)
			.preMaterialize(this.materializer);
		BoundedSourceQueue<ByteString> queue = stream.first();
		WatchListener listener = (revision, changes) -> {
			if (!queue.offer(line(StoreFormat.watchEvents(revision, changes))).isEnqueued()) {
				queue.fail(new IllegalStateException("Watch is too slow or has ended"));
			}
		};
		this.open.put(listener, queue);
		this.counts.watchOpened();
		queue.offer(line(StoreFormat.watchCreated(this.state.revision())));
		this.state.watch(KeyRange.of(create), JsonFields.number(create, "start_revision", "startRevision"), listener);
		Source<ByteString, NotUsed> body = stream.second().watchTermination((value, termination) -> {
			termination.whenComplete((ignored, ex) -> close(listener));
			return value;
		});
		return HttpResponse.create().withEntity(HttpEntities.createChunked(ContentTypes.APPLICATION_JSON, body));
	}

	private void close(WatchListener listener) {
		if (this.open.remove(listener) != null) {
			this.state.unwatch(listener);
			this.counts.watchClosed();
		}
	}

	void failAll() {
		this.open.forEach((listener, queue) -> queue.fail(new IllegalStateException("Store is down")));
	}

	void completeAll() {
		this.open.values().forEach(BoundedSourceQueue::complete);
	}

	private static ByteString line(JsonNode message) {
		return ByteString.fromString(Json.format(message) + "\n");
	}

}
