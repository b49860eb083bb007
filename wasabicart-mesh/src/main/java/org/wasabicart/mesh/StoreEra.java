package org.wasabicart.mesh;

/**
 * Period of the store in which it loses nothing that it has acknowledged. The store
 * begins the next era when it returns from an older copy of its data.
 *
 * @param number number of the era; 0 if the store states none
 */
public record StoreEra(long number) implements Comparable<StoreEra> {

	/** Era of a store that states none. */
	public static final StoreEra UNSTATED = new StoreEra(0);

	@Override
	public int compareTo(StoreEra other) {
		return Long.compare(this.number, other.number);
	}

	@Override
	public String toString() {
		return Long.toString(this.number);
	}

}
