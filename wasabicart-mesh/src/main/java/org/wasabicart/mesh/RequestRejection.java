package org.wasabicart.mesh;

import java.util.Locale;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Cause of a failed decoder result: a request that the node refuses before it has read
 * it.
 */
final class RequestRejection extends Exception {

	private static final long serialVersionUID = 1L;

	private final Reason reason;

	RequestRejection(Reason reason) {
		super(reason.label(), null, false, false);
		this.reason = reason;
	}

	Reason reason() {
		return this.reason;
	}

	/**
	 * Reason of a rejection. All of them state that the request has not run.
	 */
	enum Reason {

		/** Head, or trailer of a body, with too many bytes. */
		HEAD_BYTES(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),

		/** Head, or trailer of a body, with too many lines. */
		HEAD_LINES(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),

		/** Too many bytes in front of a request line. */
		LEADING_BYTES(HttpResponseStatus.BAD_REQUEST),

		/** Length line of a chunk with too many bytes. */
		CHUNK_LINE(HttpResponseStatus.BAD_REQUEST),

		/** Head that has not ended in time. */
		HEAD_TIME(HttpResponseStatus.REQUEST_TIMEOUT),

		/** Head that the node has no memory for. */
		MEMORY(HttpResponseStatus.SERVICE_UNAVAILABLE);

		private final HttpResponseStatus status;

		Reason(HttpResponseStatus status) {
			this.status = status;
		}

		HttpResponseStatus status() {
			return this.status;
		}

		String label() {
			return name().toLowerCase(Locale.ROOT).replace('_', '-');
		}

	}

}
