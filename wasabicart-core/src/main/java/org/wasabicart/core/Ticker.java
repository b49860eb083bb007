package org.wasabicart.core;

/**
 * Source of monotonic time for decisions. Only differences of its values have a meaning.
 * <p>
 * Example: {@code Ticker ticker = System::nanoTime;}
 */
@FunctionalInterface
public interface Ticker {

	/**
	 * Returns the current monotonic time.
	 * @return the time in nanoseconds
	 */
	long nanoseconds();

}
