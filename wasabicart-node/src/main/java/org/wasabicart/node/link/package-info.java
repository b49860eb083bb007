/**
 * Links between nodes: Netty implementation of the peer contract.
 */
package org.wasabicart.node.link;
