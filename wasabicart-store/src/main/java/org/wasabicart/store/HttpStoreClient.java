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
 * Store client over HTTP. Each request goes to one endpoint; after a failed read the next
 * read goes to the next endpoint. Writes are never repeated here, since a failed write
 * may have taken effect.
 */
public final class HttpStoreClient implements StoreClient {

	private static final long MAXIMUM_RESPONSE_BYTES = 4L * 1024 * 1024;

	private final ClassicActorSystemProvider system;

	private final Http http;

	private final List<URI> endpoints;

	private final Duration timeout;

	private final GatewayJson json = new GatewayJson();

	private final AtomicInteger endpoint = new AtomicInteger();

	/**
	 * Creates a client.
	 * @param system actor system that runs the requests; remains open when the client is
	 * closed
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
		return post("/v3/kv/range", this.json.range(key), this.json::readRange)
			.thenApply((values) -> values.stream().findFirst());
	}

	@Override
	public CompletableFuture<List<StoredValue>> list(String prefix) {
		return post("/v3/kv/range", this.json.rangeOfPrefix(prefix), this.json::readRange);
	}

	@Override
	public CompletableFuture<SwapResult> compareAndSwap(String key, Revision expected, byte[] value,
			Optional<LeaseId> lease) {
		return post("/v3/kv/txn", this.json.compareAndSwap(key, expected, value, lease), this.json::readSwap);
	}

	@Override
	public CompletableFuture<LeaseId> grantLease(Duration timeToLive) {
		return post("/v3/lease/grant", this.json.grantLease(timeToLive), this.json::readLease);
	}

	@Override
	public CompletableFuture<Duration> keepAlive(LeaseId lease) {
		return post("/v3/lease/keepalive", this.json.lease(lease), this.json::readKeepAlive);
	}

	@Override
	public CompletableFuture<Void> revoke(LeaseId lease) {
		return post("/v3/lease/revoke", this.json.lease(lease), (body) -> null);
	}

	@Override
	public StoreWatch watch(String key, Revision after, StoreWatchListener listener) {
		HttpRequest request = request("/v3/watch", this.json.watch(key, after));
		return new HttpStoreWatch(this.system, this.json, listener).open(this.http.singleRequest(request));
	}

	@Override
	public void close() {
		// Connections belong to the actor system's pool, which closes them.
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
				this.endpoint.incrementAndGet();
				throw new CompletionException(new StoreException("The store did not respond to " + path, ex));
			});
	}

	private HttpRequest request(String path, byte[] body) {
		URI base = this.endpoints.get(Math.floorMod(this.endpoint.get(), this.endpoints.size()));
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
	 * Reads the result from a response's JSON.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	private interface ResponseReader<T> {

		T read(byte[] json) throws IOException;

	}

}
