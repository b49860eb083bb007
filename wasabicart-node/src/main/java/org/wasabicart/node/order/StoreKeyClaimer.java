package org.wasabicart.node.order;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.order.ClaimController;
import org.wasabicart.store.LeaseId;
import org.wasabicart.store.StoreClient;
import org.wasabicart.store.SwapResult;

/**
 * Claims each key with a compare-and-swap in the store. All claims within an hour share
 * one lease, so that a claim usually needs only one store call.
 */
public final class StoreKeyClaimer implements KeyClaimer {

	// The 24 hours that a claim lasts at least, and the hour in which the lease is
	// reused.
	private static final Duration LEASE_DURATION = Duration.ofHours(25);

	private static final long LEASE_REUSE_NANOSECONDS = Duration.ofHours(1).toNanos();

	private static final int MAXIMUM_ATTEMPTS = 2;

	private final StoreClient store;

	private final ClaimController controller;

	private final Ticker ticker;

	private CompletableFuture<LeaseId> lease;

	private long leaseRequestedNanoseconds;

	/**
	 * Creates an instance.
	 * @param store store that records the claims
	 * @param controller limits the rate of claims
	 * @param ticker monotonic clock
	 */
	public StoreKeyClaimer(StoreClient store, ClaimController controller, Ticker ticker) {
		this.store = store;
		this.controller = controller;
		this.ticker = ticker;
	}

	@Override
	public CompletableFuture<ClaimResult> claim(RequestContext context, String key, String ticket, int membersSeen) {
		if (!this.controller.tryToClaim(membersSeen)) {
			return CompletableFuture.completedFuture(ClaimResult.refused(RefusalReason.OVERLOADED));
		}
		String storeKey = ClaimController.storeKey(context.tenant(), key);
		return lease().thenCompose((leaseId) -> recordTicket(storeKey, ticket, leaseId, 1));
	}

	private CompletableFuture<ClaimResult> recordTicket(String storeKey, String ticket, LeaseId leaseId, int attempt) {
		return this.store
			.compareAndSwap(storeKey, new Revision(0), ticket.getBytes(StandardCharsets.UTF_8), Optional.of(leaseId))
			.handle((result, failure) -> {
				if (failure == null) {
					return CompletableFuture.completedFuture(toClaimResult(result, ticket));
				}
				if (attempt >= MAXIMUM_ATTEMPTS) {
					return CompletableFuture.<ClaimResult>failedFuture(failure);
				}
				// The failed write may have taken effect. The repeated one then finds
				// this node's own ticket.
				return recordTicket(storeKey, ticket, leaseId, attempt + 1);
			})
			.thenCompose((claim) -> (CompletionStage<ClaimResult>) claim);
	}

	private static ClaimResult toClaimResult(SwapResult result, String ticket) {
		if (result instanceof SwapResult.Conflict conflict) {
			return conflict.current()
				.map((value) -> new String(value.value(), StandardCharsets.UTF_8))
				.map((recorded) -> ClaimResult
					.claimed(ClaimController.conflictingTicket(ticket, recorded).orElse(ticket)))
				.orElseGet(() -> ClaimResult.refused(RefusalReason.STORE_UNAVAILABLE));
		}
		return ClaimResult.claimed(ticket);
	}

	private synchronized CompletableFuture<LeaseId> lease() {
		long now = this.ticker.nanoseconds();
		boolean reusable = this.lease != null && !this.lease.isCompletedExceptionally()
				&& now - this.leaseRequestedNanoseconds < LEASE_REUSE_NANOSECONDS;
		if (!reusable) {
			this.leaseRequestedNanoseconds = now;
			this.lease = this.store.grantLease(LEASE_DURATION);
		}
		return this.lease;
	}

}
