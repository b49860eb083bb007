package org.wasabicart.standin.relay;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.SystemMaterializer;

import org.wasabicart.standin.http.Json;
import org.wasabicart.standin.http.StandinActorSystem;
import org.wasabicart.standin.http.StandinHttpServer;

/**
 * Network relay with its control endpoints: {@code /standin/faults} takes {@code {"cuts":
 * [{"from", "to"}], "lossShare", "extraMilliseconds", "silenceExisting": [{"from",
 * "to"}]}}, {@code /standin/counts} returns the bytes sent between regions and the open
 * connections.
 */
public final class NetworkRelay implements AutoCloseable {

	private static final int EVENT_LOOP_THREADS = 2;

	private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

	private final ActorSystem system = StandinActorSystem.create("relay");

	private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS,
			NioIoHandler.newFactory());

	private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);

	private final RelayNetwork network;

	private final TcpRelay tcp;

	private ServerBinding controlBinding;

	private NetworkRelay(RelayRules rules) {
		this.network = new RelayNetwork(rules);
		this.tcp = new TcpRelay(rules, this.network, this.eventLoops, this.timer);
	}

	/**
	 * Starts a relay.
	 * @param rules endpoints and network properties
	 * @param controlAddress address of the control endpoints
	 * @return the relay, ready for traffic
	 * @throws InterruptedException if interrupted
	 */
	public static NetworkRelay start(RelayRules rules, InetSocketAddress controlAddress) throws InterruptedException {
		NetworkRelay relay = new NetworkRelay(rules);
		UdpRelay udp = new UdpRelay(rules, relay.network, relay.eventLoops, relay.timer);
		for (RelayRules.Endpoint endpoint : rules.endpoints()) {
			relay.tcp.listen(endpoint).sync();
			udp.listen(endpoint).sync();
		}
		relay.controlBinding = StandinHttpServer.bind(relay.system, controlAddress, relay::handle)
			.toCompletableFuture()
			.join();
		return relay;
	}

	/**
	 * Returns the address of the control endpoints.
	 * @return the address with its actual port
	 */
	public InetSocketAddress controlAddress() {
		return this.controlBinding.localAddress();
	}

	private CompletionStage<HttpResponse> handle(HttpRequest request, CompletionStage<Void> disconnected) {
		return request.entity()
			.toStrict(READ_TIMEOUT_MILLISECONDS, SystemMaterializer.get(this.system).materializer())
			.thenCompose(
					(entity) -> CompletableFuture.completedFuture(handleControl(request, entity.getData().toArray())));
	}

	private HttpResponse handleControl(HttpRequest request, byte[] body) {
		if (request.getUri().path().equals("/standin/counts")) {
			return Json.response(200, this.network.counts().put("connections", this.tcp.connections()));
		}
		if (request.method() != HttpMethods.GET) {
			JsonNode change = Json.parse(body);
			this.network.faults(this.network.faults().with(change));
			RelayFaults.parseDirections(change.path("silenceExisting")).forEach(this.tcp::silence);
		}
		return Json.response(200, this.network.faults().toJson());
	}

	@Override
	public void close() {
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
		this.timer.shutdownNow();
		this.system.terminate();
		this.system.getWhenTerminated().toCompletableFuture().join();
	}

}
