package org.wasabicart.node.order;

import java.util.Collection;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.order.TicketLimits;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.node.request.TaskScheduler;

/**
 * Dependencies of the handling of orders.
 *
 * @param self this node
 * @param instance process instance of this node
 * @param ticker monotonic clock
 * @param random secure random source for tickets, safe for use by several threads
 * @param scheduler schedules the repeated queries for results
 * @param members members that this node sees, itself included
 * @param draining whether this node is draining
 * @param transport transport to peers
 * @param keyClaimer claims idempotency keys
 * @param homeLimits limits of the tickets that this node issued as home node
 * @param servingLimits limits of the tickets whose orders this node runs as serving node
 */
public record OrderParts(NodeId self, InstanceNumber instance, Ticker ticker, RandomGenerator random,
		TaskScheduler scheduler, Supplier<? extends Collection<Member>> members, BooleanSupplier draining,
		PeerTransport transport, KeyClaimer keyClaimer, TicketLimits homeLimits, TicketLimits servingLimits) {

	public OrderParts {
		Objects.requireNonNull(self, "self");
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(ticker, "ticker");
		Objects.requireNonNull(random, "random");
		Objects.requireNonNull(scheduler, "scheduler");
		Objects.requireNonNull(members, "members");
		Objects.requireNonNull(draining, "draining");
		Objects.requireNonNull(transport, "transport");
		Objects.requireNonNull(keyClaimer, "keyClaimer");
		Objects.requireNonNull(homeLimits, "homeLimits");
		Objects.requireNonNull(servingLimits, "servingLimits");
	}

}
