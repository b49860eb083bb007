package org.wasabicart.mesh;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
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
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import org.jboss.logging.Logger;

/**
 * One caller's connection. Requests run at the same time, answers go out in the order of
 * the requests.
 */
final class EntryConnection extends ChannelInboundHandlerAdapter {

	private static final Logger logger = Logger.getLogger(EntryConnection.class);

	/** Requests on one connection that run at the same time. */
	private static final int MAXIMUM_PIPELINED = 64;

	private static final byte[] NO_BODY = {};

	private static final AsciiString VERSION = AsciiString.cached("HTTP/1.1 ");

	/**
	 * Bytes of the status line and of the fields that this node adds, at most usually.
	 */
	private static final int HEAD_BYTES = 128;

	private final EntryHandler handler;

	private final BooleanSupplier closing;

	private final Deque<Slot> slots = new ArrayDeque<>();

	private final Set<EntryConnection> open;

	private Channel channel;

	private ChannelHandlerContext output;

	private long lastUse = System.nanoTime();

	private boolean closeSent;

	/**
	 * Creates a handler for one connection.
	 * @param handler handles requests
	 * @param closing whether connections are closed after their next answer
	 * @param open receives the connection while it is open
	 */
	EntryConnection(EntryHandler handler, BooleanSupplier closing, Set<EntryConnection> open) {
		this.handler = Objects.requireNonNull(handler, "handler");
		this.closing = Objects.requireNonNull(closing, "closing");
		this.open = Objects.requireNonNull(open, "open");
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		// Answers are whole messages, which pass no encoder.
		this.output = this.channel.pipeline().firstContext();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			if (message instanceof FullHttpRequest request && !this.closeSent) {
				request(request);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void request(FullHttpRequest request) {
		Slot slot = new Slot(HttpUtil.isKeepAlive(request), HttpMethod.HEAD.equals(request.method()));
		this.slots.add(slot);
		if (request.decoderResult().isFailure()) {
			slot.keepAlive = false;
			slot.answer(EntryAnswer.own(HttpResponseStatus.BAD_REQUEST.code()));
			return;
		}
		if (this.slots.size() >= MAXIMUM_PIPELINED) {
			this.channel.config().setAutoRead(false);
		}
		slot.handle = this.handler.handle(request, this.channel.remoteAddress(), slot::answer);
	}

	private void flush() {
		boolean written = false;
		while (!this.slots.isEmpty() && this.slots.peekFirst().answer != null && !this.closeSent) {
			Slot slot = this.slots.pollFirst();
			write(slot);
			written = true;
		}
		if (written) {
			this.lastUse = System.nanoTime();
			this.channel.flush();
			if (!this.closeSent && this.slots.size() < MAXIMUM_PIPELINED) {
				this.channel.config().setAutoRead(true);
			}
		}
	}

	private void write(Slot slot) {
		EntryAnswer answer = slot.answer;
		boolean close = !slot.keepAlive || this.closing.getAsBoolean() && this.slots.isEmpty();
		ByteBuf message = message(answer, slot.head, close);
		if (close) {
			this.closeSent = true;
			this.output.write(message).addListener(ChannelFutureListener.CLOSE);
			cancelAll();
		}
		else {
			this.output.write(message, this.output.voidPromise());
		}
	}

	private ByteBuf message(EntryAnswer answer, boolean head, boolean close) {
		byte[] body = head ? NO_BODY : answer.body();
		HttpResponseStatus status = HttpResponseStatus.valueOf(answer.status());
		ByteBuf message = this.channel.alloc().ioBuffer(HEAD_BYTES + answer.headers().size() + body.length);
		ByteBufUtil.writeAscii(message, VERSION);
		ByteBufUtil.writeAscii(message, status.codeAsText());
		message.writeByte(' ');
		ByteBufUtil.writeAscii(message, status.reasonPhrase());
		HeaderBlock.endLine(message);
		answer.headers().writeTo(message);
		if (!head && answer.status() != HttpResponseStatus.NO_CONTENT.code()
				&& answer.status() != HttpResponseStatus.NOT_MODIFIED.code()) {
			HeaderBlock.writeField(message, HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
		}
		if (close) {
			HeaderBlock.writeField(message, HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		HeaderBlock.endLine(message);
		return message.writeBytes(body);
	}

	private void cancelAll() {
		List<Slot> open = List.copyOf(this.slots);
		this.slots.clear();
		open.forEach(Slot::cancel);
	}

	/**
	 * Closes the connection if no request has used it for a time.
	 * @param now current time in nanoseconds
	 * @param idleTimeout time in nanoseconds
	 */
	void expire(long now, long idleTimeout) {
		if (this.slots.isEmpty() && now - this.lastUse > idleTimeout) {
			this.channel.close();
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.open.add(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.open.remove(this);
		this.closeSent = true;
		cancelAll();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debugf("event=caller-connection-failed caller=%s reason=\"%s\"", context.channel().remoteAddress(),
				cause);
		context.close();
	}

	/**
	 * One request in the order of arrival.
	 */
	private final class Slot {

		private final boolean head;

		private boolean keepAlive;

		private CallHandle handle;

		private EntryAnswer answer;

		Slot(boolean keepAlive, boolean head) {
			this.keepAlive = keepAlive;
			this.head = head;
		}

		private void answer(EntryAnswer value) {
			if (this.answer == null) {
				this.answer = value;
				flush();
			}
		}

		private void cancel() {
			if (this.answer == null && this.handle != null) {
				this.handle.cancel();
			}
		}

	}

}
