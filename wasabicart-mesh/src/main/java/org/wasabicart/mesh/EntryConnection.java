package org.wasabicart.mesh;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import org.jboss.logging.Logger;

/**
 * Connection of one caller. Pipelined requests run concurrently, and their responses are
 * written in the order of the requests.
 */
final class EntryConnection extends ChannelInboundHandlerAdapter {

	private static final Logger logger = Logger.getLogger(EntryConnection.class);

	/** Requests of one connection that are read before their responses are written. */
	private static final int MAXIMUM_PIPELINED = 64;

	/**
	 * Requests of one connection that run concurrently. Their responses are held until
	 * the caller has read the earlier ones, so more of them would take more memory
	 * without being delivered sooner.
	 */
	private static final int MAXIMUM_RUNNING = 4;

	/**
	 * Cost of the requests of one connection that wait behind others, above which the
	 * node stops reading from it. Requests that callers pipeline have a few kilobytes.
	 */
	private static final long MAXIMUM_WAITING_BYTES = 128 * 1024;

	/** Memory of a request or a response besides its header fields and its body. */
	private static final int REQUEST_COST_BYTES = 512;

	/** Seconds after which a request that the node had no memory for may be repeated. */
	private static final HeaderBlock RETRY_AFTER = HeaderBlock.of(HttpHeaderNames.RETRY_AFTER, "1");

	private static final byte[] NO_BODY = {};

	private static final AsciiString VERSION_PREFIX = AsciiString.cached("HTTP/1.1 ");

	/**
	 * Bytes reserved for the status line and for the header fields that this node adds.
	 */
	private static final int RESERVED_HEAD_BYTES = 128;

	private final EntryHandler handler;

	private final BooleanSupplier closing;

	/** Requests without a written response, in the order of their arrival. */
	private final Deque<PipelinedRequest> pending = new ArrayDeque<>();

	/** Pending requests that have not been started. */
	private final Deque<PipelinedRequest> waiting = new ArrayDeque<>();

	private final CallerConnections openConnections;

	private final HeldMemory memory;

	private final HeldMemory.Holding requestHolding;

	private final HeldMemory.Holding waitingHolding;

	private final HeldMemory.Holding responseHolding;

	/** What the connection holds as long as it is open. */
	private final HeldMemory.Holding connectionHolding;

	private final PacedWriteHandler writer;

	private final EntryRequestDecoder decoder;

	private final EntryRejections rejections;

	private Channel channel;

	private ChannelHandlerContext outboundContext;

	private long lastActivity = System.nanoTime();

	private long lastWrittenBytes;

	private boolean closeSent;

	private int running;

	private boolean starting;

	private boolean requestRead;

	/**
	 * Creates a handler for one connection.
	 * @param handler handles requests
	 * @param closing whether connections are closed after their next response
	 * @param openConnections open connections, which contain this one while it is open
	 * @param memory account of the bytes that the node holds
	 * @param writer first handler of the pipeline
	 * @param decoder decoder of the requests
	 * @param rejections reports rejected requests
	 */
	EntryConnection(EntryHandler handler, BooleanSupplier closing, CallerConnections openConnections, HeldMemory memory,
			PacedWriteHandler writer, EntryRequestDecoder decoder, EntryRejections rejections) {
		this.handler = Objects.requireNonNull(handler, "handler");
		this.closing = Objects.requireNonNull(closing, "closing");
		this.openConnections = Objects.requireNonNull(openConnections, "openConnections");
		this.memory = Objects.requireNonNull(memory, "memory");
		this.writer = Objects.requireNonNull(writer, "writer");
		this.decoder = Objects.requireNonNull(decoder, "decoder");
		this.rejections = Objects.requireNonNull(rejections, "rejections");
		this.waitingHolding = memory.open(HeldMemory.Kind.WAITING, this::refuseWaiting);
		this.requestHolding = memory.open(HeldMemory.Kind.FIXED, () -> {
		});
		this.responseHolding = memory.open(HeldMemory.Kind.UNREAD, () -> this.channel.close());
		this.connectionHolding = memory.open(HeldMemory.Kind.FIXED, this::closeIdle);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.outboundContext = context;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			if (message instanceof FullHttpRequest request && !this.closeSent) {
				handleRequest(request);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void handleRequest(FullHttpRequest request) {
		PipelinedRequest pipelined = new PipelinedRequest(request);
		this.pending.add(pipelined);
		updateConnectionHolding();
		if (request.decoderResult().isFailure()) {
			pipelined.keepAlive = false;
			pipelined.respond(reject(request.decoderResult().cause()));
			return;
		}
		this.requestRead = true;
		pipelined.enqueue(request);
		startWaiting();
		if (!mayRead()) {
			this.channel.config().setAutoRead(false);
		}
		this.memory.reclaimFromCallers();
	}

	private EntryResponse reject(Throwable cause) {
		if (cause instanceof RequestRejection rejection) {
			RequestRejection.Reason reason = rejection.reason();
			this.rejections.rejected(reason.label(), this.channel.remoteAddress());
			return EntryResponse.withoutBody(reason.status().code(),
					(reason == RequestRejection.Reason.MEMORY) ? RETRY_AFTER : HeaderBlock.EMPTY);
		}
		boolean tooLong = cause instanceof TooLongHttpContentException;
		this.rejections.rejected(tooLong ? "body-bytes" : "not-http", this.channel.remoteAddress());
		return EntryResponse.withoutBody(
				(tooLong ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : HttpResponseStatus.BAD_REQUEST).code());
	}

	// A request that waits has not been passed on, so the refusal is true.
	private void refuseWaiting() {
		List<PipelinedRequest> refused = List.copyOf(this.waiting);
		this.waiting.clear();
		refused.forEach((pipelined) -> {
			if (pipelined.request == null) {
				// The answer to an earlier one has closed the connection.
				return;
			}
			this.rejections.rejected(RequestRejection.Reason.MEMORY.label(), this.channel.remoteAddress());
			pipelined.refuse();
		});
	}

	private void closeIdle() {
		if (!idle()) {
			// A request is being read since the holding was updated.
			updateConnectionHolding();
			return;
		}
		this.rejections.rejected("idle-memory", this.channel.remoteAddress());
		this.openConnections.remove(this);
		this.channel.close();
	}

	// Idle connections are the first to be closed when memory is short, others are not
	// closed for what they hold while they are idle.
	private void updateConnectionHolding() {
		if (this.closeSent) {
			return;
		}
		this.connectionHolding.kind(idle() ? HeldMemory.Kind.IDLE : HeldMemory.Kind.FIXED);
		this.connectionHolding.resize(this.decoder.lineBufferBytes());
	}

	private boolean idle() {
		return closable() && this.decoder.idle();
	}

	private boolean mayRead() {
		return this.pending.size() < MAXIMUM_PIPELINED && this.waitingHolding.bytes() < MAXIMUM_WAITING_BYTES;
	}

	private void startWaiting() {
		if (this.starting) {
			// A request that was refused at once ends while it is started.
			return;
		}
		this.starting = true;
		try {
			while (!this.waiting.isEmpty() && !this.closeSent && mayStart()) {
				this.waiting.pollFirst().start();
			}
		}
		finally {
			this.starting = false;
		}
		continueReading();
	}

	// A request that is sent behind others waits while the caller does not read, or while
	// the node is short of memory.
	private boolean mayStart() {
		if (!this.writer.writable()) {
			return false;
		}
		return this.pending.peekFirst() == this.waiting.peekFirst()
				|| this.running < MAXIMUM_RUNNING && !this.memory.underPressure();
	}

	private void flush() {
		boolean written = false;
		while (mayWrite()) {
			while (mayWrite()) {
				PipelinedRequest pipelined = this.pending.pollFirst();
				this.responseHolding.resize(this.responseHolding.bytes() - costBytes(pipelined.response));
				write(pipelined);
			}
			// The caller may read a long response at once, so that the next one can
			// follow.
			this.channel.flush();
			written = true;
		}
		if (written) {
			this.lastActivity = System.nanoTime();
			continueReading();
			updateConnectionHolding();
		}
	}

	private void continueReading() {
		if (!this.closeSent && mayRead() && !this.channel.config().isAutoRead()) {
			this.decoder.restartHeadTime(System.nanoTime());
			this.channel.config().setAutoRead(true);
		}
	}

	private boolean mayWrite() {
		return !this.pending.isEmpty() && this.pending.peekFirst().response != null && !this.closeSent
				&& this.writer.writable();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		flush();
		startWaiting();
	}

	private void write(PipelinedRequest pipelined) {
		EntryResponse response = pipelined.response;
		boolean close = !pipelined.keepAlive || this.closing.getAsBoolean() && this.pending.isEmpty();
		byte[] body = pipelined.headMethod ? NO_BODY : response.body();
		if (body.length > PacedWriteHandler.PIECE_BYTES) {
			writeMessage(encode(response, pipelined.headMethod, close, NO_BODY), false);
			writeMessage(Unpooled.wrappedBuffer(body), close);
		}
		else {
			writeMessage(encode(response, pipelined.headMethod, close, body), close);
		}
		if (close) {
			this.closeSent = true;
			cancelAll();
		}
	}

	private void writeMessage(ByteBuf message, boolean close) {
		if (close) {
			this.outboundContext.write(message).addListener(ChannelFutureListener.CLOSE);
		}
		else {
			this.outboundContext.write(message, this.outboundContext.voidPromise());
		}
	}

	private ByteBuf encode(EntryResponse response, boolean headMethod, boolean close, byte[] body) {
		HttpResponseStatus status = HttpResponseStatus.valueOf(response.status());
		ByteBuf message = this.channel.alloc().ioBuffer(RESERVED_HEAD_BYTES + response.headers().size() + body.length);
		ByteBufUtil.writeAscii(message, VERSION_PREFIX);
		ByteBufUtil.writeAscii(message, status.codeAsText());
		message.writeByte(' ');
		ByteBufUtil.writeAscii(message, status.reasonPhrase());
		HeaderBlock.endLine(message);
		response.headers().writeTo(message);
		if (!headMethod && response.status() != HttpResponseStatus.NO_CONTENT.code()
				&& response.status() != HttpResponseStatus.NOT_MODIFIED.code()) {
			HeaderBlock.writeField(message, HttpHeaderNames.CONTENT_LENGTH, Integer.toString(response.body().length));
		}
		if (close) {
			HeaderBlock.writeField(message, HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		HeaderBlock.endLine(message);
		return message.writeBytes(body);
	}

	private void cancelAll() {
		List<PipelinedRequest> unanswered = List.copyOf(this.pending);
		this.pending.clear();
		this.waiting.clear();
		unanswered.forEach(PipelinedRequest::cancel);
		this.requestHolding.release();
		this.waitingHolding.release();
		this.responseHolding.release();
	}

	private static long costBytes(EntryResponse response) {
		return response.body().length + response.headers().size() + REQUEST_COST_BYTES;
	}

	/**
	 * Returns whether the caller has yet to read responses.
	 * @return whether a response is waiting to be written, or has been written in part
	 */
	boolean hasUnwrittenResponses() {
		return !this.pending.isEmpty() || this.writer.unwrittenBytes() > 0;
	}

	/**
	 * Closes the connection if no request is in progress, and the caller has neither read
	 * nor sent anything for longer than a timeout. Rejects a head that has not ended in
	 * time.
	 * @param now current time in nanoseconds
	 * @param idleTimeout timeout in nanoseconds
	 */
	void closeIfIdle(long now, long idleTimeout) {
		long written = this.writer.writtenBytes();
		if (written != this.lastWrittenBytes) {
			this.lastWrittenBytes = written;
			this.lastActivity = now;
		}
		updateConnectionHolding();
		boolean unread = this.writer.unwrittenBytes() > 0;
		if (this.channel.config().isAutoRead()) {
			this.decoder.rejectLateHead(now);
		}
		if ((this.pending.isEmpty() || unread) && now - this.lastActivity > idleTimeout) {
			this.channel.close();
		}
	}

	/**
	 * Returns whether the connection may be closed in favour of a new one: the caller has
	 * no request in progress and no response to read.
	 * @return whether closing it tells the caller that no request was read
	 */
	boolean closable() {
		return !hasUnwrittenResponses();
	}

	/**
	 * Returns whether a complete request has been read from this connection.
	 * @return whether a request has been read
	 */
	boolean requestRead() {
		return this.requestRead;
	}

	/**
	 * Returns whether the caller is sending the body of a request.
	 * @return whether a head has been read whose body is incomplete
	 */
	boolean receivesBody() {
		return this.decoder.readsBody();
	}

	SocketAddress remoteAddress() {
		return this.channel.remoteAddress();
	}

	long lastActivity() {
		return this.lastActivity;
	}

	void close() {
		this.channel.close();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		this.lastActivity = System.nanoTime();
		updateConnectionHolding();
		context.fireChannelReadComplete();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.openConnections.add(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.openConnections.remove(this);
		this.closeSent = true;
		cancelAll();
		this.connectionHolding.release();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debugf("event=caller-connection-failed caller=%s reason=\"%s\"", context.channel().remoteAddress(),
				cause);
		context.close();
	}

	/**
	 * One request with its response, queued in the order of arrival.
	 */
	private final class PipelinedRequest {

		private final boolean headMethod;

		private final long arrival = System.nanoTime();

		private boolean keepAlive;

		private FullHttpRequest request;

		private long waitingBytes;

		private long runningBytes;

		private CallHandle handle;

		private boolean started;

		private EntryResponse response;

		PipelinedRequest(FullHttpRequest request) {
			this.keepAlive = HttpUtil.isKeepAlive(request);
			this.headMethod = HttpMethod.HEAD.equals(request.method());
		}

		private void enqueue(FullHttpRequest value) {
			this.request = value.retain();
			long bytes = REQUEST_COST_BYTES + value.uri().length() + value.content().readableBytes();
			this.waitingBytes = bytes + CountedHeaders.costBytes(value.headers());
			this.runningBytes = bytes + CountedHeaders.messageBytes(value.headers());
			EntryConnection.this.waiting.add(this);
			resizeWaiting(this.waitingBytes);
		}

		private void resizeWaiting(long difference) {
			HeldMemory.Holding holding = EntryConnection.this.waitingHolding;
			holding.resize(Math.max(0, holding.bytes() + difference));
		}

		private void refuse() {
			this.request.release();
			this.request = null;
			this.runningBytes = 0;
			respond(EntryResponse.withoutBody(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), RETRY_AFTER));
		}

		private void start() {
			FullHttpRequest value = this.request;
			this.request = null;
			this.started = true;
			resizeWaiting(-this.waitingBytes);
			EntryConnection.this.requestHolding.resize(EntryConnection.this.requestHolding.bytes() + this.runningBytes);
			EntryConnection.this.running++;
			try {
				this.handle = EntryConnection.this.handler.handle(value, this.arrival,
						EntryConnection.this.channel.remoteAddress(), this::respond);
			}
			finally {
				value.release();
			}
		}

		private void respond(EntryResponse value) {
			if (this.response != null) {
				return;
			}
			this.response = value;
			if (this.started) {
				EntryConnection.this.running--;
			}
			if (EntryConnection.this.closeSent) {
				return;
			}
			if (this.started) {
				EntryConnection.this.requestHolding
					.resize(EntryConnection.this.requestHolding.bytes() - this.runningBytes);
			}
			EntryConnection.this.responseHolding
				.resize(EntryConnection.this.responseHolding.bytes() + costBytes(value));
			flush();
			startWaiting();
		}

		private void cancel() {
			if (this.request != null) {
				this.request.release();
				this.request = null;
			}
			else if (this.response == null && this.handle != null) {
				this.handle.cancel();
			}
		}

	}

}
