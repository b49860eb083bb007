package org.wasabicart.core.order;

import java.util.Objects;
import java.util.Optional;

/**
 * State of a ticket, with the result of a finished one.
 *
 * @param state state
 * @param result result of a finished ticket, unless it was discarded to limit memory use
 * @param <R> type of the result
 */
public record TicketStatus<R>(TicketState state, Optional<R> result) {

	public TicketStatus {
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(result, "result");
	}

}
