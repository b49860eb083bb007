package org.wasabicart.node.link;

import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.link.ByteBudget;

/**
 * Objects that all links of one transport share.
 *
 * @param identity identity of this node
 * @param key computes and verifies proofs of the shared key
 * @param limits size limits and timeouts
 * @param ticker source of monotonic time
 * @param random secure random source
 * @param receiveBudget bounds the memory of bodies that are being received
 */
record LinkEnvironment(LinkIdentity identity, SharedKey key, LinkLimits limits, Ticker ticker, RandomGenerator random,
		ByteBudget receiveBudget) {

}
