package org.wasabicart.core.admission;

/**
 * Permission for one call to run.
 *
 * @param number number of the permit, unique within its controller
 * @param startNanoseconds ticker time of admission
 * @param limitAtStart concurrency limit at admission
 * @param runningAtStart running calls at admission, this one included
 */
public record AdmissionPermit(long number, long startNanoseconds, int limitAtStart, int runningAtStart) {

}
