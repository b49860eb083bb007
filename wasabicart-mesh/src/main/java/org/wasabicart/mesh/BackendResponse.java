package org.wasabicart.mesh;

import io.netty.handler.codec.http.HttpResponse;

/**
 * A complete response of a backend server.
 *
 * @param head status and header fields
 * @param body complete body
 */
record BackendResponse(HttpResponse head, byte[] body) {

}
