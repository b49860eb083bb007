package org.wasabicart.mesh;

import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;

/**
 * Holds what a peer has yet to read in the heap, and passes it on in small pieces as the
 * peer reads. Netty would copy all of it to direct memory at once, which is scarce and
 * shared by all connections. Must be the first handler of a pipeline, and receives
 * buffers only.
 */
final class PacedWriteHandler extends ChannelDuplexHandler {

	/** Largest piece in bytes; longer messages are written as several pieces. */
	static final int PIECE_BYTES = 16 * 1024;

	private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(PIECE_BYTES, 2 * PIECE_BYTES);

	private final Deque<QueuedWrite> queue = new ArrayDeque<>();

	private final HeldMemory.Holding holding;

	private ChannelHandlerContext context;

	private long queuedBytes;

	private long acceptedBytes;

	/**
	 * Creates a handler for one connection.
	 * @param memory account of the held bytes
	 * @param kind kind of the bytes that the peer has yet to read; they are discarded by
	 * closing the connection
	 */
	PacedWriteHandler(HeldMemory memory, HeldMemory.Kind kind) {
		this.holding = memory.open(kind, () -> this.context.close());
	}

	@Override
	public void handlerAdded(ChannelHandlerContext addedContext) {
		this.context = addedContext;
		addedContext.channel().config().setWriteBufferWaterMark(WATER_MARK);
	}

	/**
	 * Returns whether a message that is written now is passed on at once.
	 * @return whether nothing is queued and the peer reads
	 */
	boolean writable() {
		return this.queue.isEmpty() && this.context.channel().isWritable();
	}

	/**
	 * Returns the number of bytes that the operating system has yet to accept.
	 * @return the number
	 */
	long unwrittenBytes() {
		ChannelOutboundBuffer outbound = this.context.channel().unsafe().outboundBuffer();
		return this.queuedBytes + ((outbound != null) ? outbound.totalPendingWriteBytes() : 0);
	}

	/**
	 * Returns the number of bytes that the operating system has accepted so far, to tell
	 * a slow peer from one that does not read.
	 * @return the number
	 */
	long writtenBytes() {
		return this.acceptedBytes - unwrittenBytes();
	}

	@Override
	public void write(ChannelHandlerContext writeContext, Object message, ChannelPromise promise) {
		ByteBuf buffer = (ByteBuf) message;
		int length = buffer.readableBytes();
		this.acceptedBytes += length;
		// Netty rejects what is written to a closed channel.
		if (!this.context.channel().isActive() || length <= PIECE_BYTES && writable()) {
			writeContext.write(buffer, promise);
			return;
		}
		this.queue.add(new QueuedWrite(toHeap(buffer), promise));
		this.queuedBytes += length;
		this.holding.resize(this.queuedBytes);
	}

	private static ByteBuf toHeap(ByteBuf buffer) {
		if (!buffer.isDirect()) {
			return buffer;
		}
		ByteBuf copy = Unpooled.copiedBuffer(buffer);
		buffer.release();
		return copy;
	}

	@Override
	public void flush(ChannelHandlerContext flushContext) {
		writeQueue();
		flushContext.flush();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext changedContext) {
		if (changedContext.channel().isWritable() && !this.queue.isEmpty()) {
			writeQueue();
			changedContext.flush();
		}
		changedContext.fireChannelWritabilityChanged();
	}

	private void writeQueue() {
		while (!this.queue.isEmpty() && this.context.channel().isWritable()) {
			QueuedWrite first = this.queue.peekFirst();
			int length = Math.min(PIECE_BYTES, first.message.readableBytes());
			this.queuedBytes -= length;
			if (length == first.message.readableBytes()) {
				this.queue.pollFirst();
				this.context.write(first.message, first.promise);
			}
			else {
				this.context.write(first.message.readRetainedSlice(length)).addListener(first);
			}
		}
		this.holding.resize(this.queuedBytes);
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactiveContext) {
		this.queuedBytes = 0;
		this.holding.release();
		while (!this.queue.isEmpty()) {
			QueuedWrite first = this.queue.pollFirst();
			first.message.release();
			first.fail(new ClosedChannelException());
		}
		inactiveContext.fireChannelInactive();
	}

	/**
	 * A message of which a part is yet to be written.
	 *
	 * @param message unwritten part
	 * @param promise outcome of the whole message
	 */
	private record QueuedWrite(ByteBuf message, ChannelPromise promise) implements ChannelFutureListener {

		@Override
		public void operationComplete(ChannelFuture piece) {
			if (!piece.isSuccess()) {
				fail(piece.cause());
			}
		}

		private void fail(Throwable cause) {
			if (!this.promise.isVoid()) {
				this.promise.tryFailure(cause);
			}
		}

	}

}
