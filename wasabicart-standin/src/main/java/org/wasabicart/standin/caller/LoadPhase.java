package org.wasabicart.standin.caller;

/**
 * Time with a constant rate of arrivals.
 *
 * @param seconds length
 * @param ratePerSecond mean arrivals each second
 */
public record LoadPhase(double seconds, double ratePerSecond) {

}
