package org.wasabicart.standin.caller;

/**
 * One request that is to be sent.
 *
 * @param offsetNanoseconds time after the start of the load
 * @param kind kind
 * @param requestId root request id
 * @param path path
 * @param entry choice of the entry node, any number
 */
public record Arrival(long offsetNanoseconds, CallerKind kind, String requestId, String path, int entry) {

}
