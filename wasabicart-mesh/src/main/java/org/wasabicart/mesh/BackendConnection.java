package org.wasabicart.mesh;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.Objects;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.wasabicart.core.model.FinalStatus;

/**
 * Connection to the local backend server; carries one request at a time. Data that
 * arrives without an outstanding request closes the connection. A response that carries
 * the id of another request is skipped.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

	/** Maximum response size in bytes; responses are buffered in the memory of the VM. */
	static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

	/** This node does not offer to switch protocols. */
	private static final int SWITCHING_PROTOCOLS = HttpResponseStatus.SWITCHING_PROTOCOLS.code();

	/** Informational responses to one request after which the connection is closed. */
	private static final int MAXIMUM_INFORMATIONAL_RESPONSES = 16;

	private final String requestIdHeader;

	private final Consumer<BackendConnection> releaseListener;

	private final ClientResponseDecoder decoder;

	private Channel channel;

	private Exchange exchange;

	private String previousRequestId;

	private HttpResponse head;

	private final BodyAccumulator body = new BodyAccumulator();

	private final HeldMemory.Holding holding;

	private boolean reusable = true;

	private boolean responseSkipped;

	private int informationalResponses;

	private long idleSince;

	private long serverIdleTimeout = -1;

	BackendConnection(String requestIdHeader, ClientResponseDecoder decoder, HeldMemory memory,
			Consumer<BackendConnection> releaseListener) {
		this.requestIdHeader = Objects.requireNonNull(requestIdHeader, "requestIdHeader");
		this.decoder = decoder;
		this.holding = memory.open(HeldMemory.Kind.UNBOUNDED, () -> fail("memory-limit"));
		this.releaseListener = releaseListener;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	/**
	 * Sends a request.
	 * @param message complete encoded request
	 * @param method method of the request
	 * @param requestId id that the response must carry
	 * @param listener receives the outcome
	 */
	void send(ByteBuf message, HttpMethod method, String requestId, Exchange.Listener listener) {
		this.exchange = new Exchange(requestId, listener);
		this.previousRequestId = requestId;
		this.responseSkipped = false;
		this.informationalResponses = 0;
		if (!this.channel.isActive()) {
			message.release();
			fail("connection-closed");
			return;
		}
		this.decoder.expect(method);
		Exchange sent = this.exchange;
		this.channel.writeAndFlush(message).addListener((written) -> {
			if (this.exchange == sent && !written.isSuccess()) {
				handleWriteFailure(written.cause());
			}
		});
	}

	// A reset that shows on a write closes the channel without an exception in the
	// pipeline, and the decoder takes the end of the channel for that of a body without a
	// length. The other failures of a write are consequences of a closed channel.
	private void handleWriteFailure(Throwable cause) {
		if (!(cause instanceof ClosedChannelException)) {
			fail("connection-reset");
		}
	}

	long idleSince() {
		return this.idleSince;
	}

	/**
	 * Returns the idle timeout that the server announced in its last response.
	 * @return the timeout in nanoseconds, or -1 if the server announced none
	 */
	long serverIdleTimeout() {
		return this.serverIdleTimeout;
	}

	boolean usable() {
		return this.reusable && this.channel.isActive();
	}

	/**
	 * Returns whether a response on this connection can be told from a repeated response
	 * to an earlier request with the same id.
	 * @param requestId id of the next request
	 * @return whether the id differs from that of the previous request
	 */
	boolean usableFor(String requestId) {
		return !requestId.equals(this.previousRequestId);
	}

	ByteBufAllocator allocator() {
		return this.channel.alloc();
	}

	void close() {
		this.reusable = false;
		this.channel.close();
	}

	/**
	 * Closes the connection without reporting an outcome for the outstanding request.
	 */
	void abandon() {
		this.exchange = null;
		close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			read((HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(HttpObject message) {
		if (this.exchange == null) {
			// No request is outstanding, so this data belongs to none.
			close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			fail("answer-not-http");
			return;
		}
		if (message instanceof HttpResponse response) {
			if (ClientResponseDecoder.isJoined(response)) {
				fail("answer-not-http");
				return;
			}
			this.head = response;
			if (!isInformational(response) && !FinalStatus.isValid(response.status().code())
					|| response.status().code() == SWITCHING_PROTOCOLS) {
				fail("answer-invalid-status status=" + response.status().code());
				return;
			}
			if (isInformational(response) && ++this.informationalResponses > MAXIMUM_INFORMATIONAL_RESPONSES) {
				fail("answer-without-end");
				return;
			}
		}
		if (this.head == null || isInformational(this.head)) {
			return;
		}
		if (message instanceof HttpContent content && !append(content.content())) {
			return;
		}
		if (message instanceof LastHttpContent) {
			complete();
		}
	}

	private static boolean isInformational(HttpResponse response) {
		return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
	}

	private boolean append(ByteBuf content) {
		if (this.body.size() + content.readableBytes() > MAXIMUM_BODY_BYTES) {
			fail("answer-too-large");
			return false;
		}
		if (content.isReadable()) {
			this.body.append(content);
			this.holding
				.kind(HttpUtil.isContentLengthSet(this.head) ? HeldMemory.Kind.INCOMPLETE : HeldMemory.Kind.UNBOUNDED);
			this.holding.resize(this.body.size());
		}
		return true;
	}

	private void complete() {
		HttpResponse response = this.head;
		byte[] bytes = takeBody();
		this.head = null;
		if (!this.exchange.requestId.equals(response.headers().get(this.requestIdHeader))) {
			// Duplicate response to an earlier request. The expected one may follow.
			this.reusable = false;
			if (this.responseSkipped) {
				fail("answers-of-other-requests");
			}
			this.responseSkipped = true;
			this.decoder.expect(HttpMethod.GET);
			return;
		}
		boolean decoderEmpty = this.decoder.endResponse();
		if (!decoderEmpty || !HttpUtil.isKeepAlive(response) || !(HttpUtil.isContentLengthSet(response)
				|| HttpUtil.isTransferEncodingChunked(response) || bytes.length == 0)) {
			this.reusable = false;
		}
		this.serverIdleTimeout = KeepAliveTimeout.parseNanoseconds(response.headers().get(KeepAliveTimeout.HEADER));
		Exchange completed = this.exchange;
		this.exchange = null;
		this.idleSince = System.nanoTime();
		if (!this.reusable) {
			close();
		}
		else {
			this.releaseListener.accept(this);
		}
		completed.listener.answered(new BackendResponse(response, bytes));
	}

	private byte[] takeBody() {
		this.holding.release();
		return this.body.take();
	}

	private void fail(String reason) {
		this.holding.release();
		this.body.clear();
		this.head = null;
		Exchange failed = this.exchange;
		this.exchange = null;
		close();
		if (failed != null) {
			failed.listener.failed(reason);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.reusable = false;
		fail("connection-closed");
		this.releaseListener.accept(this);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail((cause instanceof IOException) ? "connection-reset" : "connection-failed: " + cause);
	}

	/**
	 * An outstanding request and the listener for its outcome.
	 */
	static final class Exchange {

		private final String requestId;

		private final Listener listener;

		Exchange(String requestId, Listener listener) {
			this.requestId = requestId;
			this.listener = listener;
		}

		/**
		 * Receives the outcome of one request.
		 */
		interface Listener {

			/**
			 * The server has responded.
			 * @param response complete response
			 */
			void answered(BackendResponse response);

			/**
			 * No complete response was received; the server may have run the request.
			 * @param reason reason for logs and other nodes
			 */
			void failed(String reason);

		}

	}

}
