package org.wasabicart.mesh;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.wasabicart.core.mesh.CallerLimits;

/**
 * Decodes the requests of a caller, and counts what incomplete heads, chunk lines and
 * trailers cost in memory. A request over a bound is passed on with a
 * {@link RequestRejection} as failed decoder result, and further bytes of the connection
 * are skipped.
 */
final class EntryRequestDecoder extends HttpRequestDecoder {

	/**
	 * Bounds of the superclass, which are never reached, since this class has its own.
	 */
	private static final int UNBOUNDED = 1 << 30;

	private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;

	/** Line buffers up to this size are not counted; usual lines need no more. */
	private static final int MINIMUM_COUNTED_LINE_BYTES = 1024;

	private static final byte DELETE_CHARACTER = 0x7f;

	private final Supplier<CallerLimits> limits;

	private final EntryBounds bounds;

	private final HeldMemory memory;

	private final HeldMemory.Holding holding;

	private ChannelHandlerContext context;

	private CountedHeaders headers;

	private State state = State.LEADING;

	private boolean chunked;

	/** Bytes of a body of a stated length that have not been read. */
	private long unreadBodyBytes;

	private long leadingBytes;

	private long headBytes;

	private long headStart;

	private boolean headOverdue;

	/** Whether the head of the request whose body is read has been passed on. */
	private boolean headPassed;

	private int longestLine;

	/** Whether bytes that arrived in this turn of the event loop are passed on. */
	private boolean reading;

	private boolean decoding;

	private HttpObject rejected;

	/**
	 * Creates a decoder for one connection.
	 * @param limits provides the limits of the configuration in force
	 * @param bounds bounds of the node
	 * @param memory account of the bytes that the node holds
	 */
	EntryRequestDecoder(Supplier<CallerLimits> limits, EntryBounds bounds, HeldMemory memory) {
		this(new CountedHeadersFactory(), limits, bounds, memory);
	}

	private EntryRequestDecoder(CountedHeadersFactory factory, Supplier<CallerLimits> limits, EntryBounds bounds,
			HeldMemory memory) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(UNBOUNDED)
			.setMaxHeaderSize(UNBOUNDED)
			.setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
			.setHeadersFactory(factory)
			.setTrailersFactory(factory));
		factory.decoder = this;
		this.limits = Objects.requireNonNull(limits, "limits");
		this.bounds = Objects.requireNonNull(bounds, "bounds");
		this.memory = Objects.requireNonNull(memory, "memory");
		this.holding = memory.open(HeldMemory.Kind.HEAD, () -> reject(RequestRejection.Reason.MEMORY));
		setCumulator(this::cumulate);
	}

	// An incomplete line must not retain its read buffer, which has 16 KB of direct
	// memory.
	private ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf input) {
		if (this.state == State.BODY && !this.chunked && !cumulation.isReadable()
				&& this.unreadBodyBytes >= input.readableBytes()) {
			cumulation.release();
			return input;
		}
		ByteBuf joined = Unpooled.buffer(cumulation.readableBytes() + input.readableBytes());
		joined.writeBytes(cumulation).writeBytes(input);
		cumulation.release();
		input.release();
		return joined;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext addedContext) throws Exception {
		this.context = addedContext;
		super.handlerAdded(addedContext);
	}

	@Override
	public void channelRead(ChannelHandlerContext readContext, Object message) throws Exception {
		this.reading = true;
		super.channelRead(readContext, message);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext readContext) throws Exception {
		this.reading = false;
		super.channelReadComplete(readContext);
	}

	@Override
	protected void decode(ChannelHandlerContext decodeContext, ByteBuf buffer, List<Object> messages) throws Exception {
		this.decoding = true;
		int first = messages.size();
		if (this.state == State.LEADING) {
			skipLeadingBytes(buffer);
		}
		if (this.state != State.LEADING && this.state != State.REJECTED) {
			int readable = buffer.readableBytes();
			super.decode(decodeContext, buffer, messages);
			int read = readable - buffer.readableBytes();
			measureLines(buffer, read, messages.subList(first, messages.size()));
			advance(messages, first, read, buffer.readableBytes());
		}
		this.decoding = false;
		this.headPassed |= this.state == State.BODY;
		if (this.state == State.REJECTED) {
			buffer.skipBytes(buffer.readableBytes());
			replaceWithRejection(messages, first);
		}
	}

	private void skipLeadingBytes(ByteBuf buffer) {
		int start = buffer.readerIndex();
		int end = buffer.forEachByte((value) -> value >= 0 && value <= ' ' || value == DELETE_CHARACTER);
		int length = (end >= 0) ? end - start : buffer.readableBytes();
		buffer.skipBytes(length);
		this.leadingBytes += length;
		if (this.leadingBytes > this.bounds.leadingBytes()) {
			reject(RequestRejection.Reason.LEADING_BYTES);
		}
		else if (buffer.isReadable()) {
			this.state = State.HEAD;
			this.headStart = System.nanoTime();
			this.headOverdue = false;
			this.headBytes = 0;
			this.headPassed = false;
			this.headers = null;
		}
	}

	// The superclass copies each complete line of a head, a trailer and a chunk to a
	// buffer that it keeps.
	private void measureLines(ByteBuf buffer, int read, List<Object> messages) {
		int bytes = read;
		for (Object message : messages) {
			if (message instanceof HttpContent content) {
				bytes -= content.content().readableBytes();
			}
		}
		if (bytes <= Math.max(MINIMUM_COUNTED_LINE_BYTES, this.longestLine)) {
			return;
		}
		if (this.state == State.BODY) {
			this.longestLine = bytes;
			return;
		}
		int start = buffer.readerIndex() - read;
		while (start < buffer.readerIndex()) {
			int end = buffer.indexOf(start, buffer.readerIndex(), (byte) '\n');
			int next = (end >= 0) ? end + 1 : buffer.readerIndex();
			this.longestLine = Math.max(this.longestLine, next - start);
			start = next;
		}
	}

	/**
	 * Returns the size of the buffer that the superclass has kept for lines since the
	 * connection was opened.
	 * @return the number of bytes, or 0 for a small buffer
	 */
	int lineBufferBytes() {
		return (this.longestLine > MINIMUM_COUNTED_LINE_BYTES) ? Integer.highestOneBit(this.longestLine - 1) << 1 : 0;
	}

	/**
	 * Returns whether no part of a request has been read that is not complete or has yet
	 * to be passed on.
	 * @return whether the next byte begins a request
	 */
	boolean idle() {
		return this.state == State.LEADING && !this.reading;
	}

	/**
	 * Returns whether the body of a request is incomplete.
	 * @return whether a head has been read, and not all of its body
	 */
	boolean readsBody() {
		return this.state == State.BODY;
	}

	private void advance(List<Object> messages, int first, int read, int unread) {
		this.headBytes += read;
		boolean headEnded = false;
		boolean ended = false;
		for (Object message : messages.subList(first, messages.size())) {
			if (message instanceof HttpRequest request) {
				checkRequestLine(request);
			}
			if (((HttpObject) message).decoderResult().isFailure()) {
				this.state = State.REJECTED;
				this.holding.release();
				return;
			}
			if (message instanceof HttpRequest request) {
				headEnded = true;
				this.chunked = HttpUtil.isTransferEncodingChunked(request);
				this.unreadBodyBytes = this.chunked ? 0 : HttpUtil.getContentLength(request, 0L);
			}
			if (message instanceof HttpContent content) {
				this.headBytes -= content.content().readableBytes();
				this.unreadBodyBytes -= content.content().readableBytes();
			}
			ended |= message instanceof LastHttpContent;
		}
		// The superclass waits for the rest of a line once it reads nothing more.
		checkBounds((read == 0) ? unread : 0);
		if (this.state == State.REJECTED) {
			return;
		}
		if (headEnded || ended) {
			this.state = ended ? State.LEADING : State.BODY;
			this.leadingBytes = 0;
			this.headPassed &= !ended;
			this.headers = null;
		}
		this.holding.resize(unread + ((this.headers != null) ? this.headers.costBytes() : 0));
		this.memory.reclaimFromCallers();
	}

	// The superclass accepts control characters in the target.
	private static void checkRequestLine(HttpRequest request) {
		try {
			HeadSyntax.requireWord("Method", request.method().name());
			HeadSyntax.requireWord("Target", request.uri());
		}
		catch (IllegalArgumentException ex) {
			request.setDecoderResult(DecoderResult.failure(ex));
		}
	}

	private void checkBounds(int incompleteLine) {
		int headerBytes = this.limits.get().headerBytes();
		long limit = (long) headerBytes + this.bounds.headRoomBytes();
		if (this.headers != null && this.headers.lines() > this.bounds.headLines(headerBytes)) {
			reject(RequestRejection.Reason.HEAD_LINES);
		}
		else if (this.state == State.HEAD && this.headBytes + incompleteLine > limit) {
			reject(RequestRejection.Reason.HEAD_BYTES);
		}
		else if (this.state == State.BODY && this.headers != null
				&& this.headers.messageBytes() + incompleteLine > limit) {
			reject(RequestRejection.Reason.HEAD_BYTES);
		}
		else if (this.state == State.BODY && this.chunked && incompleteLine > limit) {
			reject(RequestRejection.Reason.CHUNK_LINE);
		}
	}

	private void reject(RequestRejection.Reason reason) {
		if (this.state == State.REJECTED) {
			return;
		}
		HttpObject message = this.headPassed ? new DefaultHttpContent(Unpooled.EMPTY_BUFFER)
				: new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		message.setDecoderResult(DecoderResult.failure(new RequestRejection(reason)));
		this.state = State.REJECTED;
		this.holding.release();
		if (this.headers != null) {
			// The superclass refers to them until the connection is closed.
			this.headers.clear();
		}
		if (this.decoding) {
			this.rejected = message;
		}
		else {
			this.context.fireChannelRead(message);
		}
	}

	private void replaceWithRejection(List<Object> messages, int first) {
		if (this.rejected == null) {
			return;
		}
		while (messages.size() > first) {
			ReferenceCountUtil.release(messages.remove(messages.size() - 1));
		}
		messages.add(this.rejected);
		this.rejected = null;
	}

	/**
	 * Rejects a head that has not ended in time. Received bytes do not extend the time.
	 * The head is rejected in the second check that finds it late, since its bytes may
	 * not have been read before the first one.
	 * @param now current time in nanoseconds
	 */
	void rejectLateHead(long now) {
		if (this.state != State.HEAD) {
			return;
		}
		long timeout = this.limits.get().headerTimeout().plus(this.bounds.headTimeRoom()).toNanos();
		boolean late = now - this.headStart > timeout;
		if (late && this.headOverdue) {
			reject(RequestRejection.Reason.HEAD_TIME);
		}
		this.headOverdue = late;
	}

	/**
	 * Restarts the time of an incomplete head, after the node has not read for a while.
	 * @param now current time in nanoseconds
	 */
	void restartHeadTime(long now) {
		this.headStart = now;
		this.headOverdue = false;
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactiveContext) throws Exception {
		super.channelInactive(inactiveContext);
		this.state = State.REJECTED;
		this.holding.release();
	}

	/**
	 * Part of a request that is read next.
	 */
	private enum State {

		/** Bytes in front of a request line. */
		LEADING,

		HEAD,

		/** Body with its chunk lines and trailer. */
		BODY,

		/** Bytes that are skipped. */
		REJECTED

	}

	/**
	 * Creates counted header fields and reports them to the decoder.
	 */
	private static final class CountedHeadersFactory implements HttpHeadersFactory {

		private EntryRequestDecoder decoder;

		@Override
		public HttpHeaders newHeaders() {
			CountedHeaders created = new CountedHeaders();
			this.decoder.headers = created;
			return created;
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return newHeaders();
		}

	}

}
