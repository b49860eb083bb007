package org.wasabicart.core.admission;

/**
 * State of an admission controller for metrics and status.
 *
 * @param limit concurrency limit
 * @param ceiling highest limit that the service policy allows
 * @param running running calls
 * @param queued queued calls
 * @param queuedBytes bytes of the queued calls
 * @param threshold lowest admitted priority
 */
public record AdmissionStatus(int limit, int ceiling, int running, int queued, long queuedBytes, int threshold) {

}
