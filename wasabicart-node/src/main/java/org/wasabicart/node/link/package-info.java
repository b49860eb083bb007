/**
 * Netty implementation of the peer API: TCP links between nodes.
 */
package org.wasabicart.node.link;
