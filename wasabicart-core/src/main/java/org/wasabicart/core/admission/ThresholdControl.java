package org.wasabicart.core.admission;

/**
 * Controls the lowest admitted priority. Invoked under the controller's lock.
 */
public interface ThresholdControl {

	/**
	 * Counts one offered call.
	 * @param priority priority of the call
	 * @param nowNanoseconds the ticker's time
	 */
	void offered(int priority, long nowNanoseconds);

	/**
	 * Updates the threshold. May be invoked often, as the control limits how often the
	 * threshold changes.
	 * @param load load of the backend server
	 * @return the lowest priority to admit from now on
	 */
	int update(ThresholdInput load);

	/**
	 * Returns the demand, including refused calls, divided by the capacity. Retry hints
	 * depend on it.
	 * @return the ratio at the last update
	 */
	double loadRatio();

}
