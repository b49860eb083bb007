package org.wasabicart.standin.caller;

/**
 * A request and the time at which it is to be sent.
 *
 * @param offsetNanoseconds scheduled time, from the start of the load
 * @param kind kind of the request
 * @param requestId root request id
 * @param path path of the request
 * @param entry non-negative number that selects the entry node, modulo their count
 */
public record Arrival(long offsetNanoseconds, CallerKind kind, String requestId, String path, int entry) {

}
