package org.wasabicart.core.admission;

/**
 * One ended call, as the concurrency limit sees it.
 *
 * @param nowNanoseconds ticker time of the end
 * @param call what was observed of the call
 * @param permit permit of the call
 * @param demanded whether calls waited for a slot when the call ended
 * @param ceiling operations lead's ceiling, which the limit must not cross
 */
public record LimitSample(long nowNanoseconds, CallSample call, AdmissionPermit permit, boolean demanded, int ceiling) {

}
