package org.wasabicart.node.http;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;

import org.wasabicart.core.Ticker;
import org.wasabicart.node.LocalServer;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.request.BackendClient;
import org.wasabicart.node.request.BackendListener;
import org.wasabicart.node.request.ContextTable;
import org.wasabicart.node.request.TaskScheduler;

/**
 * Sends calls to the local backend server with the Pekko HTTP client. The client's own
 * retries are off, since they would bypass the retry allowance.
 */
public final class PekkoBackendClient implements BackendClient {

	private final AtomicInteger running = new AtomicInteger();

	private final ActorSystem system;

	private final Materializer materializer;

	private final Ticker ticker;

	private final TaskScheduler scheduler;

	private final ContextTable contexts;

	private final long bodyLimit;

	private volatile Pool pool;

	/**
	 * Creates a client without connections.
	 * @param system actor system of the HTTP client
	 * @param ticker clock for deadlines and service times
	 * @param scheduler runs deadline timers
	 * @param contexts table of running calls
	 * @param bodyLimit largest response body in bytes
	 */
	public PekkoBackendClient(ActorSystem system, Ticker ticker, TaskScheduler scheduler, ContextTable contexts,
			long bodyLimit) {
		this.system = system;
		this.materializer = SystemMaterializer.get(system).materializer();
		this.ticker = ticker;
		this.scheduler = scheduler;
		this.contexts = contexts;
		this.bodyLimit = bodyLimit;
	}

	@Override
	public CallHandle call(LocalServer server, CallRequest request, BackendListener listener) {
		Pool current = pool(server);
		this.running.incrementAndGet();
		BackendCall call = new BackendCall(this, current, request, this.contexts.open(request.context()), listener);
		call.start();
		return call;
	}

	/**
	 * Returns the number of calls that the backend server runs.
	 * @return number of calls, including cancelled calls that still hold their permit
	 */
	public int running() {
		return this.running.get();
	}

	void callEnded() {
		this.running.decrementAndGet();
	}

	private Pool pool(LocalServer server) {
		Pool current = this.pool;
		if (current == null || current.connections != server.connections()
				|| !current.base.equals("http://" + server.address())) {
			ConnectionPoolSettings settings = ConnectionPoolSettings.create(this.system)
				.withMaxRetries(0)
				.withMaxConnections(server.connections())
				.withMaxOpenRequests(openRequests(server.connections()));
			current = new Pool("http://" + server.address(), server.connections(), settings);
			this.pool = current;
		}
		return current;
	}

	// Pekko HTTP requires a power of two. The smallest one above twice the number of
	// connections allows one cancellation besides each call.
	private static int openRequests(int connections) {
		return Integer.highestOneBit(connections) << 2;
	}

	CompletionStage<HttpResponse> send(Pool target, HttpRequest request) {
		return Http.get(this.system)
			.singleRequest(request, Http.get(this.system).defaultClientHttpsContext(), target.settings,
					this.system.log());
	}

	Materializer materializer() {
		return this.materializer;
	}

	Ticker ticker() {
		return this.ticker;
	}

	TaskScheduler scheduler() {
		return this.scheduler;
	}

	ContextTable contexts() {
		return this.contexts;
	}

	long bodyLimit() {
		return this.bodyLimit;
	}

	/**
	 * Connection pool to one backend server.
	 *
	 * @param base URL of the backend server
	 * @param connections maximum number of connections
	 * @param settings settings of the pool
	 */
	record Pool(String base, int connections, ConnectionPoolSettings settings) {

	}

}
