package org.wasabicart.core.membership;

import java.util.Objects;

import org.wasabicart.core.model.NodeAddress;

/**
 * Message to be sent.
 *
 * @param destination advertised address of the receiver
 * @param message message
 */
public record OutgoingMessage(NodeAddress destination, PeerMessage message) {

	public OutgoingMessage {
		Objects.requireNonNull(destination, "destination");
		Objects.requireNonNull(message, "message");
	}

}
