package org.wasabicart.store;

import java.io.IOException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.JsonFraming;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;

/**
 * Watch whose events arrive as JSON objects in a streamed HTTP response.
 */
final class HttpStoreWatch {

	private static final int MAXIMUM_EVENT_BYTES = 4 * 1024 * 1024;

	private final ClassicActorSystemProvider system;

	private final GatewayJson json;

	private final StoreWatchListener listener;

	private final SharedKillSwitch killSwitch = KillSwitches.shared("store-watch");

	private final AtomicBoolean ended = new AtomicBoolean();

	HttpStoreWatch(ClassicActorSystemProvider system, GatewayJson json, StoreWatchListener listener) {
		this.system = system;
		this.json = json;
		this.listener = listener;
	}

	StoreWatch open(CompletionStage<HttpResponse> response) {
		response.thenCompose(this::readEvents).whenComplete((done, ex) -> end(ex));
		return this::cancel;
	}

	private CompletionStage<?> readEvents(HttpResponse response) {
		return response.entity()
			.withoutSizeLimit()
			.getDataBytes()
			.via(this.killSwitch.flow())
			.via(JsonFraming.objectScanner(MAXIMUM_EVENT_BYTES))
			.runWith(Sink.foreach(this::deliver), this.system);
	}

	private void deliver(ByteString event) throws IOException {
		for (StoredValue value : this.json.readWatch(event.toArray())) {
			if (!this.ended.get()) {
				this.listener.changed(value);
			}
		}
	}

	private void end(Throwable cause) {
		if (this.ended.compareAndSet(false, true)) {
			this.listener.ended((cause != null) ? cause : new IOException("The store closed the watch"));
		}
	}

	private void cancel() {
		this.ended.set(true);
		this.killSwitch.shutdown();
	}

}
