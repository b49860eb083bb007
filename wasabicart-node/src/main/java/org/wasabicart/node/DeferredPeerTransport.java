package org.wasabicart.node;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Delegates to a transport that is set after the request path is built, since that
 * transport needs the request path as its handler. Until then, all peers are unreachable.
 */
final class DeferredPeerTransport implements PeerTransport {

	private volatile PeerTransport transport;

	void set(PeerTransport peers) {
		this.transport = peers;
	}

	@Override
	public CallHandle send(NodeAddress address, CallRequest request, CallListener listener) {
		PeerTransport current = this.transport;
		if (current != null) {
			return current.send(address, request, listener);
		}
		listener.finished(CallResponse.withoutBody(new Outcome.Refused(RefusalReason.UNREACHABLE, Duration.ZERO),
				request.context().retryAllowance()));
		return () -> {
		};
	}

	@Override
	public CompletableFuture<ControlResponse> sendControlRequest(NodeAddress address, ControlRequest request,
			Duration timeout) {
		PeerTransport current = this.transport;
		if (current != null) {
			return current.sendControlRequest(address, request, timeout);
		}
		return CompletableFuture.failedFuture(new IOException("The transport is not set yet; cannot reach " + address));
	}

}
