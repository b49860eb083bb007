package org.wasabicart.node.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntFunction;

import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestId;
import org.wasabicart.core.model.TenantName;
import org.wasabicart.core.retry.RetryAllowance;

/**
 * Retry allowances of recent root requests by the client's request id, so that a client's
 * own repetitions draw on the same allowance. Bounded; the least recently used id is
 * forgotten first.
 */
public final class RootAllowances {

	private final Map<Key, Entry> entries;

	private final IntFunction<RetryAllowance> allowances;

	/**
	 * Creates an empty table.
	 * @param capacity most ids remembered
	 * @param allowances creates an allowance of a size
	 */
	public RootAllowances(int capacity, IntFunction<RetryAllowance> allowances) {
		this.allowances = allowances;
		this.entries = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<Key, Entry> eldest) {
				return size() > capacity;
			}

		};
	}

	/**
	 * Begins a send of a root request. The first send is free; each further one takes one
	 * retry, unless all earlier sends were refused and so never ran.
	 * @param tenant tenant of the request
	 * @param id id given by the client
	 * @param size allowance of the kind
	 * @return the send, or empty if the allowance is used up
	 */
	public synchronized Optional<Send> begin(TenantName tenant, RequestId id, int size) {
		Entry entry = this.entries.computeIfAbsent(new Key(tenant, id),
				(key) -> new Entry(this.allowances.apply(size)));
		if (entry.sends > 0 && !entry.allowance.tryToSpend()) {
			return Optional.empty();
		}
		boolean paid = entry.sends > 0;
		entry.sends++;
		return Optional.of(new Send(entry, entry.allowance.reserve(entry.allowance.available()), paid));
	}

	private record Key(TenantName tenant, RequestId id) {

	}

	private static final class Entry {

		private final RetryAllowance allowance;

		private int sends;

		Entry(RetryAllowance allowance) {
			this.allowance = allowance;
		}

	}

	/**
	 * One send of a root request.
	 */
	public final class Send {

		private final Entry entry;

		private final RetryAllowance.Reservation reservation;

		private final boolean paid;

		private Send(Entry entry, RetryAllowance.Reservation reservation, boolean paid) {
			this.entry = entry;
			this.reservation = reservation;
			this.paid = paid;
		}

		/**
		 * Returns the retries that this send may use.
		 * @return number of retries
		 */
		public int size() {
			return this.reservation.size();
		}

		/**
		 * Ends the send.
		 * @param outcome its outcome
		 * @param unspent retries that it did not use
		 */
		public void end(Outcome outcome, int unspent) {
			synchronized (RootAllowances.this) {
				if (outcome instanceof Outcome.Refused && !this.paid) {
					this.entry.sends--;
				}
				this.reservation.giveBack(unspent);
			}
		}

	}

}
