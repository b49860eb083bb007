/**
 * Protobuf encoding of the messages between nodes.
 */
package org.wasabicart.wire;
