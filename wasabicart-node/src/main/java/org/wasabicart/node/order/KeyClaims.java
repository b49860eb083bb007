package org.wasabicart.node.order;

import java.util.concurrent.CompletableFuture;

import org.wasabicart.core.model.RequestContext;

/**
 * Claims idempotency keys, so that one key leads to one ticket wherever it arrives.
 */
@FunctionalInterface
public interface KeyClaims {

	/**
	 * Claims a key.
	 * @param context context of the order
	 * @param key idempotency key of the order's tenant
	 * @param ticket ticket to record if the key is not claimed yet
	 * @param membersSeen number of members that this node sees
	 * @return the ticket that the key stands for, or a refusal; fails if the store does
	 * not answer
	 */
	CompletableFuture<Claim> claim(RequestContext context, String key, String ticket, int membersSeen);

}
