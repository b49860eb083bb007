package org.wasabicart.mesh;

import io.netty.handler.codec.http.HttpResponse;

/**
 * A whole answer of a backend server.
 *
 * @param head status and header fields
 * @param body whole body
 */
record BackendAnswer(HttpResponse head, byte[] body) {

}
