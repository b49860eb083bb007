package org.wasabicart.mesh;

import java.util.Objects;

/**
 * Lease of the store. A store that returns from an older copy assigns lease ids again, so
 * an id identifies a lease within one era only.
 *
 * @param era era in which the lease was granted
 * @param id id of the lease
 */
public record StoreLease(StoreEra era, long id) {

	public StoreLease {
		Objects.requireNonNull(era, "era");
	}

	/**
	 * Returns the lease of items that do not end with a lease.
	 * @param era era of the store
	 * @return the lease
	 */
	public static StoreLease none(StoreEra era) {
		return new StoreLease(era, 0);
	}

}
