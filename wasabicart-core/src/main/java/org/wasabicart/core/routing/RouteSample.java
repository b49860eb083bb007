package org.wasabicart.core.routing;

import org.wasabicart.core.model.Outcome;

/**
 * What the sender observed of one call to a member.
 *
 * @param latencyNanoseconds time from sending to the outcome
 * @param outcome outcome of the call
 * @param bytesSent bytes sent to the member
 * @param bytesReceived bytes received from the member
 */
public record RouteSample(long latencyNanoseconds, Outcome outcome, long bytesSent, long bytesReceived) {

}
