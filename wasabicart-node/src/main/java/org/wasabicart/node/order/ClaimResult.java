package org.wasabicart.node.order;

import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.model.RefusalReason;

/**
 * Result of a claim of an idempotency key.
 *
 * @param ticket ticket that the key maps to, or empty if the claim was refused
 * @param refusal reason of the refusal, or {@code null}
 */
public record ClaimResult(Optional<String> ticket, RefusalReason refusal) {

	public ClaimResult {
		Objects.requireNonNull(ticket, "ticket");
		if (ticket.isEmpty() == (refusal == null)) {
			throw new IllegalArgumentException("A claim result must have either a ticket or a refusal");
		}
	}

	static ClaimResult claimed(String ticket) {
		return new ClaimResult(Optional.of(ticket), null);
	}

	static ClaimResult refused(RefusalReason reason) {
		return new ClaimResult(Optional.empty(), reason);
	}

}
