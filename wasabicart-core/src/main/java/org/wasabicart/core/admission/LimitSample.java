package org.wasabicart.core.admission;

/**
 * One ended call, as input to the concurrency limit.
 *
 * @param nowNanoseconds ticker time of the end
 * @param call measurement of the call
 * @param permit permit of the call
 * @param backlogged whether other calls were queued when the call ended
 * @param ceiling highest limit that the service policy allows
 */
public record LimitSample(long nowNanoseconds, CallSample call, AdmissionPermit permit, boolean backlogged,
		int ceiling) {

}
