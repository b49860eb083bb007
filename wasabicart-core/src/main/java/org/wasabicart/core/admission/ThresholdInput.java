package org.wasabicart.core.admission;

import java.util.function.IntUnaryOperator;

/**
 * Load of a backend server, as the threshold control sees it.
 *
 * @param nowNanoseconds the ticker's time
 * @param capacityPerSecond calls that the backend server can end in a second
 * @param queueNanoseconds time in which the queued calls can be served
 * @param targetNanoseconds waiting time above which the threshold cuts below the capacity
 * @param queuedFrom number of queued calls at or above a priority, which must be the
 * lowest of an importance
 */
public record ThresholdInput(long nowNanoseconds, double capacityPerSecond, long queueNanoseconds,
		long targetNanoseconds, IntUnaryOperator queuedFrom) {

}
