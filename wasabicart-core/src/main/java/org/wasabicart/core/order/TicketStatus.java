package org.wasabicart.core.order;

import java.util.Objects;
import java.util.Optional;

/**
 * State of a ticket with its result.
 *
 * @param state state
 * @param result result of a finished ticket, unless it was dropped for lack of memory
 * @param <R> type of the result
 */
public record TicketStatus<R>(TicketState state, Optional<R> result) {

	public TicketStatus {
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(result, "result");
	}

}
