package org.wasabicart.store;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

import org.wasabicart.core.model.Revision;

/**
 * Store client over HTTP. Each request is sent once, to one endpoint; after a failed
 * request, later requests go to the next endpoint, but a failed watch does not change the
 * endpoint. Writes are not retried here, since a failed write may have taken effect.
 */
public final class HttpStoreClient implements StoreClient {

	private static final long MAXIMUM_RESPONSE_BYTES = 4L * 1024 * 1024;

	private final ClassicActorSystemProvider system;

	private final Http http;

	private final List<URI> endpoints;

	private final Duration timeout;

	private final GatewayJson json = new GatewayJson();

	private final AtomicInteger endpointIndex = new AtomicInteger();

	/**
	 * Creates a client.
	 * @param system actor system that runs the requests; it is not closed with the client
	 * @param endpoints base URLs of the store, at least one
	 * @param timeout time after which a request fails
	 */
	public HttpStoreClient(ClassicActorSystemProvider system, List<URI> endpoints, Duration timeout) {
		this.system = Objects.requireNonNull(system, "system");
		this.http = Http.get(system);
		this.endpoints = List.copyOf(endpoints);
		this.timeout = Objects.requireNonNull(timeout, "timeout");
		if (this.endpoints.isEmpty()) {
			throw new IllegalArgumentException("No store endpoint is given");
		}
	}

	@Override
	public CompletableFuture<Optional<StoredValue>> get(String key) {
		return post("/v3/kv/range", this.json.rangeRequest(key), this.json::readRange)
			.thenApply((values) -> values.stream().findFirst());
	}

	@Override
	public CompletableFuture<List<StoredValue>> list(String prefix) {
		return post("/v3/kv/range", this.json.prefixRangeRequest(prefix), this.json::readRange);
	}

	@Override
	public CompletableFuture<SwapResult> compareAndSwap(String key, Revision expected, byte[] value,
			Optional<LeaseId> lease) {
		return post("/v3/kv/txn", this.json.compareAndSwapRequest(key, expected, value, lease), this.json::readSwap);
	}

	@Override
	public CompletableFuture<LeaseId> grantLease(Duration timeToLive) {
		return post("/v3/lease/grant", this.json.grantLeaseRequest(timeToLive), this.json::readLease);
	}

	@Override
	public CompletableFuture<Duration> keepAlive(LeaseId lease) {
		return post("/v3/lease/keepalive", this.json.leaseRequest(lease), this.json::readKeepAlive);
	}

	@Override
	public CompletableFuture<Void> revoke(LeaseId lease) {
		return post("/v3/lease/revoke", this.json.leaseRequest(lease), (body) -> null);
	}

	@Override
	public StoreWatch watch(String key, Revision after, StoreWatchListener listener) {
		HttpRequest request = request("/v3/watch", this.json.watchRequest(key, after));
		return new HttpStoreWatch(this.system, this.json, listener).open(this.http.singleRequest(request));
	}

	@Override
	public void close() {
		// The actor system's connection pool owns the connections and closes them.
	}

	private <T> CompletableFuture<T> post(String path, byte[] body, ResponseReader<T> reader) {
		CompletionStage<byte[]> response = this.http.singleRequest(request(path, body)).thenCompose(this::readBody);
		return response.toCompletableFuture()
			.thenApply((bytes) -> read(reader, bytes))
			.orTimeout(this.timeout.toMillis(), TimeUnit.MILLISECONDS)
			.handle((value, ex) -> {
				if (ex == null) {
					return value;
				}
				this.endpointIndex.incrementAndGet();
				throw new CompletionException(new StoreException("Store request failed: " + path, ex));
			});
	}

	private HttpRequest request(String path, byte[] body) {
		URI base = this.endpoints.get(Math.floorMod(this.endpointIndex.get(), this.endpoints.size()));
		return HttpRequest.POST(base.resolve(path).toString()).withEntity(ContentTypes.APPLICATION_JSON, body);
	}

	private CompletionStage<byte[]> readBody(HttpResponse response) {
		return response.entity()
			.withSizeLimit(MAXIMUM_RESPONSE_BYTES)
			.toStrict(this.timeout.toMillis(), this.system)
			.thenApply((strict) -> {
				if (response.status().isFailure()) {
					throw new CompletionException(new IOException("HTTP status " + response.status().intValue()));
				}
				return strict.getData().toArray();
			});
	}

	private static <T> T read(ResponseReader<T> reader, byte[] bytes) {
		try {
			return reader.read(bytes);
		}
		catch (IOException ex) {
			throw new CompletionException(ex);
		}
	}

	/**
	 * Reads the result from the JSON of a response.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	private interface ResponseReader<T> {

		T read(byte[] json) throws IOException;

	}

}
