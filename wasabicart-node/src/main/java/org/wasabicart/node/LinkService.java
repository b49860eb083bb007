package org.wasabicart.node;

import java.io.IOException;
import java.util.Objects;

import org.wasabicart.node.link.LinkTransport;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.ControlHandler;

/**
 * Starts and stops the links to peers with the node.
 */
final class LinkService implements NodeService {

	private final LinkTransport transport;

	private final CallHandler callHandler;

	private final ControlHandler controlHandler;

	LinkService(LinkTransport transport, CallHandler callHandler, ControlHandler controlHandler) {
		this.transport = Objects.requireNonNull(transport, "transport");
		this.callHandler = callHandler;
		this.controlHandler = controlHandler;
	}

	@Override
	public void start() throws IOException {
		this.transport.start(this.callHandler, this.controlHandler);
	}

	@Override
	public void close() {
		this.transport.close();
	}

}
