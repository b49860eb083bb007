package org.wasabicart.node.order;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Transport that queries the peer for the result of an order when the response was lost,
 * before it reports an outcome.
 */
final class OrderTransport implements PeerTransport {

	private final OrderParts parts;

	OrderTransport(OrderParts parts) {
		this.parts = parts;
	}

	@Override
	public CallHandle send(NodeAddress address, CallRequest request, CallListener listener) {
		boolean orderWithTicket = request.context().execution() == Execution.ORDER && request.ticket().isPresent();
		if (!orderWithTicket) {
			return this.parts.transport().send(address, request, listener);
		}
		// Read before the call is sent, because an instance that starts later cannot know
		// the order.
		Optional<InstanceNumber> instance = instanceAt(address);
		long sentNanoseconds = this.parts.ticker().nanoseconds();
		return this.parts.transport().send(address, request, (response) -> {
			if (response.outcome() instanceof Outcome.Failed failed && isResponseLost(failed)) {
				new ResultQuery(this.parts, address, instance, sentNanoseconds, request, listener).start();
			}
			else {
				listener.finished(response);
			}
		});
	}

	private static boolean isResponseLost(Outcome.Failed failed) {
		return switch (failed.reason()) {
			case CONNECTION_LOST, INCOMPLETE_ANSWER, TIMEOUT, CANCELLED -> true;
			default -> false;
		};
	}

	@Override
	public CompletableFuture<ControlResponse> sendControlRequest(NodeAddress address, ControlRequest request,
			Duration timeout) {
		return this.parts.transport().sendControlRequest(address, request, timeout);
	}

	Optional<Member> findMember(NodeId id) {
		return this.parts.members().get().stream().filter((member) -> member.id().equals(id)).findFirst();
	}

	private Optional<InstanceNumber> instanceAt(NodeAddress address) {
		return this.parts.members()
			.get()
			.stream()
			.filter((member) -> member.address().equals(address))
			.map(Member::instance)
			.findFirst();
	}

}
