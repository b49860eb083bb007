package org.wasabicart.core.admission;

/**
 * Load of a backend server, as the threshold control sees it.
 *
 * @param nowNanoseconds the ticker's time
 * @param capacityPerSecond calls that the backend server can end in a second
 * @param queueNanoseconds waiting time of the oldest queued call, zero if none waits
 * @param targetNanoseconds waiting time above which the threshold cuts below the capacity
 * @param spare whether slots are free
 */
public record ThresholdInput(long nowNanoseconds, double capacityPerSecond, long queueNanoseconds,
		long targetNanoseconds, boolean spare) {

}
