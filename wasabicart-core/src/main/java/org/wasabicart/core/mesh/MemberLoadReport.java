package org.wasabicart.core.mesh;

/**
 * Load of a backend server as the node beside it reports it.
 *
 * @param limit calls that run at the same time
 * @param running calls that hold a slot
 * @param waiting calls that wait for a slot
 */
public record MemberLoadReport(int limit, int running, int waiting) {

}
