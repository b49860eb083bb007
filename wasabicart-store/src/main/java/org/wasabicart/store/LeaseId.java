package org.wasabicart.store;

/**
 * Identifies a lease of the store.
 *
 * @param value number given by the store
 */
public record LeaseId(long value) {

}
