package org.wasabicart.core.order;

import java.util.Objects;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.TenantName;

/**
 * Decides on claims of idempotency keys in the store. Each node keeps its claims under
 * its share of the store's rate, which it derives from the number of members that it
 * sees, so nodes need no coordination. Safe for use by several threads.
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
	 * @param storeClaimsPerSecond claims per second of all nodes together
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
		double earned = Math.max(0, now - this.lastRefill) * rate / NANOSECONDS_PER_SECOND;
		this.lastRefill = now;
		// A node may save up one second, and at least one claim.
		this.tokens = Math.min(Math.max(1, rate), this.tokens + earned);
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
	 * Decides what a conflict with a recorded claim means.
	 * @param own ticket that this node tried to record
	 * @param recorded ticket that stands in the store
	 * @return the other ticket to follow, or empty if the own claim stands: its write
	 * took effect although its response was lost
	 */
	public static Optional<String> other(String own, String recorded) {
		return Optional.of(recorded).filter((ticket) -> !ticket.equals(own));
	}

}
