/**
 * State machines of the links between nodes: streams, epochs and heartbeats.
 */
package org.wasabicart.core.link;
