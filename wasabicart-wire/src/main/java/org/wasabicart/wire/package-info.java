/**
 * Messages between nodes and their protobuf encoding.
 */
package org.wasabicart.wire;
