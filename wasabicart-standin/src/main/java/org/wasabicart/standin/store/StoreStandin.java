package org.wasabicart.standin.store;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.pattern.Patterns;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;

import org.wasabicart.standin.http.Addresses;
import org.wasabicart.standin.http.Json;
import org.wasabicart.standin.http.StandinActorSystem;
import org.wasabicart.standin.http.StandinHttpServer;

/**
 * Stand-in for the platform's key-value store. Runs in the process that starts it, for
 * example a test; {@link StoreMain} runs it as a process of its own.
 *
 * <pre>
 * try (StoreStandin store = StoreStandin.start(new InetSocketAddress("127.0.0.1", 0))) {
 *   connect(store.url());
 *   store.faults(new StoreFaults(0, true, false, 0, false));
 * }
 * </pre>
 */
public final class StoreStandin implements AutoCloseable {

	private static final Duration LEASE_EXPIRY_INTERVAL = Duration.ofMillis(100);

	private static final int REQUEST_BODY_TIMEOUT_MILLISECONDS = 10_000;

	private static final int UNAVAILABLE = 503;

	private final ActorSystem system = StandinActorSystem.create("store");

	private final Materializer materializer = SystemMaterializer.get(this.system).materializer();

	private final StoreState state = new StoreState(System::nanoTime);

	private final StoreTransactions transactions = new StoreTransactions(this.state);

	private final StoreCounts counts = new StoreCounts();

	private final StoreWatches watches = new StoreWatches(this.state, this.counts, this.materializer);

	private final Cancellable leaseExpiry;

	private ServerBinding binding;

	private StoreFaults faults = StoreFaults.NONE;

	private StoreStandin() {
		this.leaseExpiry = this.system.scheduler()
			.scheduleWithFixedDelay(LEASE_EXPIRY_INTERVAL, LEASE_EXPIRY_INTERVAL, this.state::expireLeases,
					this.system.dispatcher());
	}

	/**
	 * Starts a store.
	 * @param address address; port 0 chooses a free port
	 * @return the store, ready for calls
	 */
	public static StoreStandin start(InetSocketAddress address) {
		StoreStandin store = new StoreStandin();
		store.binding = StandinHttpServer.bind(store.system, address, store::handle).toCompletableFuture().join();
		return store;
	}

	/**
	 * Returns the address that the store listens on.
	 * @return the address with its actual port
	 */
	public InetSocketAddress address() {
		return this.binding.localAddress();
	}

	/**
	 * Returns the URL of the store.
	 * @return for example {@code http://127.0.0.1:2379}
	 */
	public String url() {
		return "http://" + Addresses.format(address());
	}

	/**
	 * Replaces the injected faults.
	 * @param faults new faults
	 */
	public synchronized void faults(StoreFaults faults) {
		this.faults = faults;
		this.state.serveStaleReads(faults.staleReads());
		if (faults.down()) {
			this.watches.failAll();
		}
	}

	private synchronized StoreFaults faults() {
		return this.faults;
	}

	private synchronized boolean shouldLoseNextWriteResponse() {
		int remaining = this.faults.loseWriteResponses();
		if (remaining > 0) {
			this.faults = this.faults.withLoseWriteResponses(remaining - 1);
		}
		return remaining != 0;
	}

	/**
	 * Returns the counts of calls by path and the number of open watches.
	 * @return {@code {"total", "pendingWatches", "calls": {path: count}}}
	 */
	public JsonNode counts() {
		return this.counts.toJson();
	}

	private CompletionStage<HttpResponse> handle(HttpRequest request, CompletionStage<Void> disconnected) {
		return request.entity()
			.toStrict(REQUEST_BODY_TIMEOUT_MILLISECONDS, this.materializer)
			.thenCompose((entity) -> dispatch(request, entity.getData().toArray()));
	}

	private CompletionStage<HttpResponse> dispatch(HttpRequest request, byte[] body) {
		String path = request.getUri().path();
		if (path.equals("/standin/counts")) {
			return CompletableFuture.completedFuture(Json.response(200, counts()));
		}
		if (path.equals("/standin/faults")) {
			if (request.method() != HttpMethods.GET) {
				faults(faults().with(Json.parse(body)));
			}
			return CompletableFuture.completedFuture(Json.response(200, faults().toJson()));
		}
		this.counts.recordCall(path);
		StoreFaults currentFaults = faults();
		if (currentFaults.silent()) {
			return new CompletableFuture<>();
		}
		if (currentFaults.down()) {
			return CompletableFuture
				.completedFuture(Json.response(UNAVAILABLE, StoreFormat.error(14, "etcdserver: unavailable")));
		}
		HttpResponse response = respond(path, body);
		boolean isWrite = !path.equals("/v3/kv/range") && !path.equals("/v3/watch");
		if (isWrite && shouldLoseNextWriteResponse()) {
			return new CompletableFuture<>();
		}
		if (currentFaults.delayMilliseconds() == 0) {
			return CompletableFuture.completedFuture(response);
		}
		return Patterns.after(Duration.ofMillis(currentFaults.delayMilliseconds()), this.system,
				() -> CompletableFuture.completedStage(response));
	}

	private HttpResponse respond(String path, byte[] body) {
		try {
			JsonNode request = Json.parse(body);
			return path.equals("/v3/watch") ? this.watches.open(request) : Json.response(200, execute(path, request));
		}
		catch (RuntimeException ex) {
			return Json.response(400, StoreFormat.error(3, String.valueOf(ex.getMessage())));
		}
	}

	private ObjectNode execute(String path, JsonNode request) {
		switch (path) {
			case "/v3/kv/range" -> {
				return StoreFormat.rangeResponse(this.state.revision(), this.state.read(KeyRange.of(request)),
						request.path("limit").asLong(0));
			}
			case "/v3/kv/put" -> {
				return StoreFormat.messageWithHeader(this.state.write(List.of(this.transactions.putWrite(request))));
			}
			case "/v3/kv/deleterange" -> {
				return StoreFormat.messageWithHeader(this.state.write(this.transactions.deleteWrites(request)));
			}
			case "/v3/kv/txn" -> {
				return this.transactions.run(request);
			}
			case "/v3/lease/grant" -> {
				long seconds = request.path("TTL").asLong(0);
				long id = this.state.grantLease(request.path("ID").asLong(0), seconds);
				return StoreFormat.messageWithHeader(this.state.revision())
					.put("ID", Long.toString(id))
					.put("TTL", Long.toString(seconds));
			}
			case "/v3/lease/keepalive" -> {
				return renewLease(request.path("ID").asLong(0));
			}
			case "/v3/lease/revoke", "/v3/kv/lease/revoke" -> {
				if (!this.state.revokeLease(request.path("ID").asLong(0))) {
					throw new IllegalArgumentException("etcdserver: requested lease not found");
				}
				return StoreFormat.messageWithHeader(this.state.revision());
			}
			default -> throw new IllegalArgumentException("Unknown path: " + path);
		}
	}

	private ObjectNode renewLease(long id) {
		long seconds = this.state.renewLease(id);
		ObjectNode message = StoreFormat.messageWithHeader(this.state.revision()).put("ID", Long.toString(id));
		if (seconds > 0) {
			message.put("TTL", Long.toString(seconds));
		}
		ObjectNode result = Json.object();
		result.set("result", message);
		return result;
	}

	@Override
	public void close() {
		this.leaseExpiry.cancel();
		this.watches.completeAll();
		this.system.terminate();
		this.system.getWhenTerminated().toCompletableFuture().join();
	}

}
