package org.wasabicart.standin.caller;

/**
 * Part of a load with a constant mean arrival rate.
 *
 * @param seconds duration
 * @param ratePerSecond mean number of arrivals per second
 */
public record LoadPhase(double seconds, double ratePerSecond) {

}
