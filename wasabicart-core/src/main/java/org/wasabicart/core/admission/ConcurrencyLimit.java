package org.wasabicart.core.admission;

/**
 * Concurrency limit of one backend server, derived from what was observed of its calls.
 * Invoked under the controller's lock, in the order in which calls end.
 */
@FunctionalInterface
public interface ConcurrencyLimit {

	/**
	 * Takes one sample into account.
	 * @param sample what was observed of one call
	 * @return the limit to use from now on, at least 1; the controller applies the
	 * ceiling
	 */
	int update(LimitSample sample);

}
