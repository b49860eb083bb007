package org.wasabicart.core.admission;

import java.util.function.IntUnaryOperator;

/**
 * Load of a backend server, as input to the threshold control.
 *
 * @param nowNanoseconds the ticker's time
 * @param capacityPerSecond calls that the backend server can finish in a second
 * @param queueNanoseconds time that serving all queued calls takes
 * @param targetNanoseconds waiting time above which the threshold admits less than the
 * capacity
 * @param queuedAtOrAbove number of queued calls at or above a priority, which must be the
 * lowest of an importance
 */
public record ThresholdInput(long nowNanoseconds, double capacityPerSecond, long queueNanoseconds,
		long targetNanoseconds, IntUnaryOperator queuedAtOrAbove) {

}
