package org.wasabicart.core.admission;

/**
 * Concurrency limit of one backend server, derived from measurements of its calls.
 * Invoked under the controller's lock, in the order in which calls end.
 */
@FunctionalInterface
public interface ConcurrencyLimit {

	/**
	 * Updates the limit with one sample.
	 * @param sample measurement of one call
	 * @return the limit to use from now on, at least 1; the controller applies the
	 * ceiling
	 */
	int update(LimitSample sample);

}
