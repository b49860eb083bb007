package org.wasabicart.node.http;

import java.io.IOException;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.retry.ClientRequestTable;
import org.wasabicart.node.ConfigurationHolder;
import org.wasabicart.node.LocalServerHolder;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.request.ContextTable;

/**
 * The node's two HTTP servers: for callers and operators, and for the local backend
 * server.
 */
public final class NodeHttpServers {

	/** Largest body of a request or response, in bytes. */
	public static final long BODY_LIMIT_BYTES = 4L << 20;

	private final CallRunner callerRunner;

	private final CallRunner nestedRunner;

	private final HttpListener callerListener;

	private final HttpListener localListener;

	/**
	 * Creates the servers without binding them.
	 * @param system actor system
	 * @param ticker clock for deadlines
	 * @param random source of request ids and jitter
	 * @param configuration configuration in force
	 * @param localServer receives announcements
	 * @param contexts table of running calls
	 * @param requests retry allowances of root requests that clients may repeat
	 * @param entry first handler of the request path at the entry node
	 * @param operatorApi serves the paths that the node answers itself
	 */
	public NodeHttpServers(ActorSystem system, Ticker ticker, RandomGenerator random, ConfigurationHolder configuration,
			LocalServerHolder localServer, ContextTable contexts, ClientRequestTable requests, CallHandler entry,
			OperatorApi operatorApi) {
		Objects.requireNonNull(entry, "entry");
		Materializer materializer = SystemMaterializer.get(system).materializer();
		RequestReader reader = new RequestReader(ticker, configuration, contexts, random);
		ResponseWriter writer = new ResponseWriter(random);
		ServerSettings settings = ServerSettings.create(system);
		this.callerRunner = new CallRunner(materializer, writer, BODY_LIMIT_BYTES);
		this.nestedRunner = new CallRunner(materializer, writer, BODY_LIMIT_BYTES);
		this.callerListener = new HttpListener(system, settings, new CallerApi(reader, this.callerRunner, writer,
				localServer, requests, entry, operatorApi, materializer));
		this.localListener = new HttpListener(system, settings,
				new LocalApi(reader, this.nestedRunner, writer, localServer, entry, materializer));
	}

	/**
	 * Binds both servers.
	 * @param callerAddress address for callers and operators
	 * @param localAddress address for the local backend server
	 * @throws IOException if an address cannot be bound
	 */
	public void start(NodeAddress callerAddress, NodeAddress localAddress) throws IOException {
		this.localListener.start(localAddress);
		this.callerListener.start(callerAddress);
	}

	/**
	 * Returns the number of requests in progress on both servers.
	 * @return number of root requests and nested calls
	 */
	public int running() {
		return this.callerRunner.running() + this.nestedRunner.running();
	}

	/**
	 * Stops accepting connections. Open connections continue.
	 */
	public void unbind() {
		this.callerListener.unbind();
		this.localListener.unbind();
	}

}
