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
 * What the handling of orders depends on.
 *
 * @param self this node
 * @param instance run of this node's process
 * @param ticker monotonic clock
 * @param random secure random source of tickets, safe for use by several threads
 * @param scheduler runs queries for results
 * @param members members seen, this node included
 * @param draining whether this node drains
 * @param transport transport to peers
 * @param claims claims of idempotency keys
 * @param homeLimits bounds of the home node's table
 * @param servingLimits bounds of the serving node's table
 */
public record OrderParts(NodeId self, InstanceNumber instance, Ticker ticker, RandomGenerator random,
		TaskScheduler scheduler, Supplier<? extends Collection<Member>> members, BooleanSupplier draining,
		PeerTransport transport, KeyClaims claims, TicketLimits homeLimits, TicketLimits servingLimits) {

	public OrderParts {
		Objects.requireNonNull(self, "self");
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(ticker, "ticker");
		Objects.requireNonNull(random, "random");
		Objects.requireNonNull(scheduler, "scheduler");
		Objects.requireNonNull(members, "members");
		Objects.requireNonNull(draining, "draining");
		Objects.requireNonNull(transport, "transport");
		Objects.requireNonNull(claims, "claims");
		Objects.requireNonNull(homeLimits, "homeLimits");
		Objects.requireNonNull(servingLimits, "servingLimits");
	}

}
