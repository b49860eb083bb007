package org.wasabicart.node.order;

import java.util.Optional;

import com.google.protobuf.UnsafeByteOperations;

import org.wasabicart.core.order.TicketState;
import org.wasabicart.core.order.TicketStatus;
import org.wasabicart.node.link.CallCodec;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.HttpHeaderField;
import org.wasabicart.wire.WireFormatException;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Converts the status of a ticket to a control response and back.
 */
final class TicketMessages {

	// Estimated memory of a retained result, besides the text of its headers and its
	// body.
	private static final long RESULT_OVERHEAD_BYTES = 200;

	private TicketMessages() {
	}

	static ControlResponse.Builder toResponse(TicketStatus<CallResponse> status) {
		ControlResponse.Builder response = ControlResponse.newBuilder().setTicketState(status.state().code());
		status.result()
			.ifPresent((result) -> response.setTicketResponse(CallCodec.toHead(result))
				.setTicketBody(UnsafeByteOperations.unsafeWrap(result.body())));
		return response;
	}

	static TicketStatus<CallResponse> toStatus(ControlResponse response) {
		TicketState state = TicketState.of(response.getTicketState()).orElse(TicketState.UNDETERMINED);
		if (!response.hasTicketResponse()) {
			return new TicketStatus<>(state, Optional.empty());
		}
		try {
			return new TicketStatus<>(state, Optional
				.of(CallCodec.toResponse(response.getTicketResponse(), response.getTicketBody().toByteArray())));
		}
		catch (WireFormatException ex) {
			return new TicketStatus<>(TicketState.UNDETERMINED, Optional.empty());
		}
	}

	static long sizeBytes(CallResponse response) {
		long bytes = RESULT_OVERHEAD_BYTES + response.body().length;
		for (HttpHeaderField field : response.headers()) {
			bytes += field.name().length() + field.value().length();
		}
		return bytes;
	}

}
