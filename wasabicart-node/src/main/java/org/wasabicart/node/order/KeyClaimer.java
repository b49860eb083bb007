package org.wasabicart.node.order;

import java.util.concurrent.CompletableFuture;

import org.wasabicart.core.model.RequestContext;

/**
 * Claims idempotency keys, so that a key maps to the same ticket at every node.
 */
@FunctionalInterface
public interface KeyClaimer {

	/**
	 * Claims a key of the order's tenant.
	 * @param context context of the order
	 * @param key idempotency key
	 * @param ticket ticket to record if the key is not claimed yet
	 * @param membersSeen number of members that this node sees, itself included
	 * @return the ticket that the key maps to, or a refusal; fails if the store does not
	 * respond
	 */
	CompletableFuture<ClaimResult> claim(RequestContext context, String key, String ticket, int membersSeen);

}
