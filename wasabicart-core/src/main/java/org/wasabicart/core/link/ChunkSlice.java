package org.wasabicart.core.link;

/**
 * Part of a body that is to be sent next.
 *
 * @param stream stream number
 * @param offset first byte within the body
 * @param length number of bytes, zero for the end of an empty body
 * @param end whether the body ends with this part
 */
public record ChunkSlice(long stream, int offset, int length, boolean end) {

}
