package org.wasabicart.store;

import java.util.Objects;

import org.wasabicart.core.model.Revision;

/**
 * Value of a key in the store.
 *
 * @param key key
 * @param value value, which is not copied and must not be modified
 * @param revision modification revision of the key
 */
public record StoredValue(String key, byte[] value, Revision revision) {

	public StoredValue {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
		Objects.requireNonNull(revision, "revision");
	}

}
