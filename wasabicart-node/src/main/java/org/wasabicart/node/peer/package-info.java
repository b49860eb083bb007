/**
 * API of calls between nodes, independent of the transport.
 */
package org.wasabicart.node.peer;
