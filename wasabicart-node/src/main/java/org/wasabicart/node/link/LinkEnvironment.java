package org.wasabicart.node.link;

import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.link.ByteBudget;

/**
 * What all links of one transport share.
 *
 * @param identity the node itself
 * @param key proof of the shared key
 * @param limits sizes and times
 * @param ticker monotonic time
 * @param random secure random source
 * @param buffers budget of the bodies that are being received
 */
record LinkEnvironment(LinkIdentity identity, SharedKey key, LinkLimits limits, Ticker ticker, RandomGenerator random,
		ByteBudget buffers) {

}
