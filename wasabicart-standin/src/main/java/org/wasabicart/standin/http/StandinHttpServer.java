package org.wasabicart.standin.http;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;

/**
 * HTTP server that notifies its handler when the client has disconnected.
 */
public final class StandinHttpServer {

	// Two per connection, so that the connection is read while a request runs, which
	// is how a disconnect is noticed.
	private static final int REQUESTS_PER_CONNECTION = 2;

	private final RequestHandler handler;

	private final Materializer materializer;

	private StandinHttpServer(RequestHandler handler, Materializer materializer) {
		this.handler = handler;
		this.materializer = materializer;
	}

	/**
	 * Binds a server.
	 * @param system actor system
	 * @param address address; port 0 chooses a free port
	 * @param handler answers the requests
	 * @return the binding, once the server accepts connections
	 */
	public static CompletionStage<ServerBinding> bind(ActorSystem system, InetSocketAddress address,
			RequestHandler handler) {
		Materializer materializer = SystemMaterializer.get(system).materializer();
		StandinHttpServer server = new StandinHttpServer(handler, materializer);
		return Http.get(system)
			.newServerAt(address.getHostString(), address.getPort())
			.connectionSource()
			.to(Sink.foreach(server::accept))
			.run(materializer);
	}

	private void accept(IncomingConnection connection) {
		CompletableFuture<Void> disconnected = new CompletableFuture<>();
		Flow<HttpRequest, HttpResponse, NotUsed> flow = Flow.of(HttpRequest.class)
			.watchTermination((value, termination) -> {
				termination.whenComplete((ignored, ex) -> disconnected.complete(null));
				return value;
			})
			.mapAsync(REQUESTS_PER_CONNECTION, (request) -> this.handler.handle(request, disconnected));
		connection.handleWith(flow, this.materializer);
	}

}
