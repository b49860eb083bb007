package org.wasabicart.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;

import org.wasabicart.core.model.NodeAddress;

/**
 * One HTTP server. It runs a flow per connection, since the plain request handlers of
 * Pekko HTTP do not report that a connection ended while its requests are in progress.
 */
final class HttpListener {

	private static final long BIND_TIMEOUT_SECONDS = 10;

	private final ActorSystem system;

	private final ServerSettings settings;

	private final HttpApi api;

	private ServerBinding binding;

	HttpListener(ActorSystem system, ServerSettings settings, HttpApi api) {
		this.system = system;
		this.settings = settings;
		this.api = api;
	}

	/**
	 * Binds the server.
	 * @param address address; its type does not allow port 0, so tests choose a port
	 * @return the bound address
	 * @throws IOException if the address cannot be bound
	 */
	InetSocketAddress start(NodeAddress address) throws IOException {
		Materializer materializer = SystemMaterializer.get(this.system).materializer();
		CompletionStage<ServerBinding> bound = Http.get(this.system)
			.newServerAt(address.host(), address.port())
			.withSettings(this.settings)
			.connectionSource()
			.to(Sink.foreach((connection) -> accept(connection, materializer)))
			.run(materializer);
		try {
			this.binding = bound.toCompletableFuture().get(BIND_TIMEOUT_SECONDS, TimeUnit.SECONDS);
			return this.binding.localAddress();
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IOException("Cannot bind " + address, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("Interrupted while binding " + address, ex);
		}
	}

	private void accept(IncomingConnection connection, Materializer materializer) {
		ConnectionScope scope = new ConnectionScope();
		Flow<HttpRequest, HttpResponse, NotUsed> flow = Flow.of(HttpRequest.class).watchTermination((unused, done) -> {
			done.whenComplete((result, failure) -> scope.close());
			return unused;
		}).mapAsync(this.settings.getPipeliningLimit(), (request) -> this.api.handle(request, scope));
		connection.handleWith(flow, materializer);
	}

	/**
	 * Stops accepting connections. Open connections continue.
	 */
	void unbind() {
		if (this.binding != null) {
			this.binding.unbind();
		}
	}

}
