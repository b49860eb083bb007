package org.wasabicart.core.order;

import java.util.Objects;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.TenantName;

/**
 * Limits the rate of claims of idempotency keys in the store and resolves conflicts with
 * recorded claims. Each node has an equal share of the total rate, which it computes from
 * the number of members that it sees, so that nodes need no coordination. This class is
 * thread-safe.
 */
public final class ClaimController {

	private static final String KEY_PREFIX = "/wasabicart/claims/";

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private final double storeClaimsPerSecond;

	private final Ticker ticker;

	private double tokens = 1;

	private long lastRefill;

	/**
	 * Creates a controller.
	 * @param storeClaimsPerSecond total claims per second of all nodes
	 * @param ticker monotonic clock
	 */
	public ClaimController(double storeClaimsPerSecond, Ticker ticker) {
		if (!(storeClaimsPerSecond > 0)) {
			throw new IllegalArgumentException("Claims per second must be above zero: " + storeClaimsPerSecond);
		}
		this.storeClaimsPerSecond = storeClaimsPerSecond;
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.lastRefill = ticker.nanoseconds();
	}

	/**
	 * Takes one claim from this node's share.
	 * @param membersSeen number of members that this node sees, itself included
	 * @return whether the claim may be sent to the store
	 */
	public synchronized boolean tryToClaim(int membersSeen) {
		double rate = this.storeClaimsPerSecond / Math.max(1, membersSeen);
		long now = this.ticker.nanoseconds();
		double refill = Math.max(0, now - this.lastRefill) * rate / NANOSECONDS_PER_SECOND;
		this.lastRefill = now;
		// The capacity of the token bucket is one second of claims, but at least one.
		this.tokens = Math.min(Math.max(1, rate), this.tokens + refill);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Returns the store key of a claim. It does not reveal the idempotency key.
	 * @param tenant tenant
	 * @param idempotencyKey idempotency key of the tenant
	 * @return the store key
	 */
	public static String storeKey(TenantName tenant, String idempotencyKey) {
		return KEY_PREFIX + DigestUtils.sha256Hex(tenant.value() + "\n" + idempotencyKey);
	}

	/**
	 * Resolves a conflict with a claim that is already in the store.
	 * @param ownTicket ticket that this node tried to record
	 * @param recordedTicket ticket found in the store
	 * @return the recorded ticket to use instead, or empty if it is this node's own: its
	 * write took effect although the response was lost
	 */
	public static Optional<String> conflictingTicket(String ownTicket, String recordedTicket) {
		return Optional.of(recordedTicket).filter((ticket) -> !ticket.equals(ownTicket));
	}

}
