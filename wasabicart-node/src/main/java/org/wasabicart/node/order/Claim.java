package org.wasabicart.node.order;

import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.model.RefusalReason;

/**
 * Result of a claim.
 *
 * @param ticket ticket that the key stands for, or empty if the claim was refused
 * @param refusal reason of the refusal, or {@code null}
 */
public record Claim(Optional<String> ticket, RefusalReason refusal) {

	public Claim {
		Objects.requireNonNull(ticket, "ticket");
		if (ticket.isEmpty() == (refusal == null)) {
			throw new IllegalArgumentException("A claim has either a ticket or a refusal");
		}
	}

	static Claim of(String ticket) {
		return new Claim(Optional.of(ticket), null);
	}

	static Claim refused(RefusalReason reason) {
		return new Claim(Optional.empty(), reason);
	}

}
