package org.wasabicart.node;

import java.io.IOException;
import java.util.Objects;

import org.wasabicart.node.link.LinkTransport;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.ControlHandler;

/**
 * Links as a service of the node.
 */
final class LinkService implements NodeService {

	private final LinkTransport transport;

	private final CallHandler calls;

	private final ControlHandler controls;

	LinkService(LinkTransport transport, CallHandler calls, ControlHandler controls) {
		this.transport = Objects.requireNonNull(transport, "transport");
		this.calls = calls;
		this.controls = controls;
	}

	@Override
	public void start() throws IOException {
		this.transport.start(this.calls, this.controls);
	}

	@Override
	public void close() {
		this.transport.close();
	}

}
