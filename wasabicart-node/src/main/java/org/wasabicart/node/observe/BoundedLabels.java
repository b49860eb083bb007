package org.wasabicart.node.observe;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bounds the number of values of one metric label. Values beyond the bound share one
 * value, so that names in the configuration cannot exhaust the node's memory.
 */
final class BoundedLabels {

	static final String OTHER = "other";

	private final Set<String> values = ConcurrentHashMap.newKeySet();

	private final int maximum;

	BoundedLabels(int maximum) {
		this.maximum = maximum;
	}

	/**
	 * Returns the label value to use.
	 * @param value wanted value
	 * @return the value itself, or {@link #OTHER} beyond the bound
	 */
	String labelFor(String value) {
		if (this.values.contains(value)) {
			return value;
		}
		synchronized (this.values) {
			if (this.values.size() >= this.maximum) {
				return OTHER;
			}
			this.values.add(value);
			return value;
		}
	}

}
