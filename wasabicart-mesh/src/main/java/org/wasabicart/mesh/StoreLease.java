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

}
