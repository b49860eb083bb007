package org.wasabicart.store;

import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.model.Revision;

/**
 * Result of a compare-and-swap.
 */
public sealed interface SwapResult {

	/**
	 * The value was written.
	 *
	 * @param revision modification revision of the key after the write
	 */
	record Swapped(Revision revision) implements SwapResult {

		public Swapped {
			Objects.requireNonNull(revision, "revision");
		}

	}

	/**
	 * The key had another modification revision, and nothing was written.
	 *
	 * @param current current value, or empty if the key is absent
	 */
	record Conflict(Optional<StoredValue> current) implements SwapResult {

		public Conflict {
			Objects.requireNonNull(current, "current");
		}

	}

}
