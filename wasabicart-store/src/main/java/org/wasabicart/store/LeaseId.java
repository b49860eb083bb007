package org.wasabicart.store;

/**
 * Identifies a lease of the store.
 *
 * @param value number assigned by the store
 */
public record LeaseId(long value) {

}
