package org.wasabicart.mesh;

import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.CharsetUtil;
import io.netty.util.ReferenceCountUtil;

/**
 * Collects each request with its body, which is copied to the heap. A request that cannot
 * be decoded or whose body is too large is passed on with a failed decoder result and
 * without a body.
 */
final class EntryRequestCollector extends ChannelInboundHandlerAdapter {

	private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

	private final int maximumBodyBytes;

	private final BooleanSupplier answersPending;

	private final HeldMemory memory;

	private final HeldMemory.Holding holding;

	private final BodyAccumulator body = new BodyAccumulator();

	private ChannelHandlerContext context;

	private HttpRequest head;

	/**
	 * Creates a collector for one connection.
	 * @param maximumBodyBytes largest accepted body in bytes
	 * @param memory account of the bytes that the node holds
	 * @param answersPending whether answers to earlier requests have yet to be written
	 */
	EntryRequestCollector(int maximumBodyBytes, HeldMemory memory, BooleanSupplier answersPending) {
		this.maximumBodyBytes = maximumBodyBytes;
		this.answersPending = Objects.requireNonNull(answersPending, "answersPending");
		this.memory = Objects.requireNonNull(memory, "memory");
		// Earlier requests of the connection may be running, so it is not closed.
		this.holding = memory.open(HeldMemory.Kind.BODY, () -> reject(this.context,
				DecoderResult.failure(new RequestRejection(RequestRejection.Reason.MEMORY))));
	}

	@Override
	public void handlerAdded(ChannelHandlerContext addedContext) {
		this.context = addedContext;
	}

	@Override
	public void channelRead(ChannelHandlerContext readContext, Object message) {
		try {
			read(readContext, (HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(ChannelHandlerContext readContext, HttpObject message) {
		if (message instanceof HttpRequest request) {
			this.head = request;
			if (request.decoderResult().isFailure()) {
				// Its length may not be a number.
				reject(readContext, request.decoderResult());
			}
			else if (HttpUtil.getContentLength(request, 0L) > this.maximumBodyBytes) {
				reject(readContext, tooLarge());
			}
			else if (HttpUtil.is100ContinueExpected(request) && !this.answersPending.getAsBoolean()) {
				// It would be taken for a part of the answer to an earlier request. A
				// caller without it sends the body after a while.
				readContext.writeAndFlush(Unpooled.copiedBuffer(CONTINUE, CharsetUtil.US_ASCII));
			}
			if (this.head != null) {
				resizeHolding();
			}
		}
		if (this.head == null) {
			return;
		}
		if (message.decoderResult().isFailure()) {
			reject(readContext, message.decoderResult());
			return;
		}
		if (message instanceof HttpContent content) {
			append(readContext, content.content());
		}
		if (message instanceof LastHttpContent && this.head != null) {
			this.holding.release();
			pass(readContext, Unpooled.wrappedBuffer(this.body.take()), DecoderResult.SUCCESS);
		}
	}

	private void append(ChannelHandlerContext readContext, ByteBuf content) {
		if (this.body.size() + content.readableBytes() > this.maximumBodyBytes) {
			reject(readContext, tooLarge());
			return;
		}
		this.body.append(content);
		resizeHolding();
	}

	private void resizeHolding() {
		this.holding
			.resize(this.body.size() + this.head.uri().length() + CountedHeaders.costBytes(this.head.headers()));
		this.memory.reclaimFromCallers();
	}

	private static DecoderResult tooLarge() {
		return DecoderResult.failure(new TooLongHttpContentException("Body exceeds the maximum size"));
	}

	private void reject(ChannelHandlerContext readContext, DecoderResult failure) {
		this.holding.release();
		this.body.clear();
		pass(readContext, Unpooled.EMPTY_BUFFER, failure);
	}

	private void pass(ChannelHandlerContext readContext, ByteBuf content, DecoderResult result) {
		HttpRequest request = this.head;
		this.head = null;
		FullHttpRequest message = new DefaultFullHttpRequest(request.protocolVersion(), request.method(), request.uri(),
				content, request.headers(), EmptyHttpHeaders.INSTANCE);
		message.setDecoderResult(result);
		readContext.fireChannelRead(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactiveContext) {
		this.holding.release();
		this.body.clear();
		this.head = null;
		inactiveContext.fireChannelInactive();
	}

}
