package org.wasabicart.mesh;

import java.util.Objects;

/**
 * Point in the history of the store. A store that returns from an older copy assigns
 * revisions again, so revisions are comparable within one era only.
 *
 * @param era era of the store
 * @param revision revision; as the position of an item, 0 stands for an absent key
 */
public record StorePosition(StoreEra era, long revision) {

	public StorePosition {
		Objects.requireNonNull(era, "era");
	}

}
