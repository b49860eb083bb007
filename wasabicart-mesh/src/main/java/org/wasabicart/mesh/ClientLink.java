package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.MemberLoadReport;
import org.wasabicart.wire.generated.mesh.MeshCancel;
import org.wasabicart.wire.generated.mesh.MeshFrame;
import org.wasabicart.wire.generated.mesh.MeshLoad;
import org.wasabicart.wire.generated.mesh.MeshPing;
import org.wasabicart.wire.generated.mesh.MeshReply;

/**
 * Sending side of a link to one other node.
 */
final class ClientLink extends SimpleChannelInboundHandler<MeshFrame> {

	private static final Logger logger = Logger.getLogger(ClientLink.class);

	/** Silence with calls on their way after which a ping is sent. */
	private static final long PING_AFTER = TimeUnit.MILLISECONDS.toNanos(250);

	/** Silence after a ping that marks the link as silent: several round trips. */
	private static final long SILENT_AFTER = TimeUnit.MILLISECONDS.toNanos(600);

	/** Pause between pings on a link without calls. */
	private static final long IDLE_PING = TimeUnit.SECONDS.toNanos(2);

	private final Map<Long, Stream> streams = new HashMap<>();

	private final Supplier<MeshPing> ownPing;

	private final Listener listener;

	private Channel channel;

	private long nextStream = 1;

	private long lastRead;

	private long pingSent;

	private boolean pinging;

	private boolean closed;

	private boolean closing;

	ClientLink(Supplier<MeshPing> ownPing, Listener listener) {
		super(MeshFrame.class);
		this.ownPing = Objects.requireNonNull(ownPing, "ownPing");
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.lastRead = System.nanoTime();
	}

	CallHandle send(Call call, CallListener callListener) {
		long stream = this.nextStream++;
		Stream entry = new Stream(call.route(), call.idempotent(), callListener);
		this.streams.put(stream, entry);
		write(CallMessages.toFrame(call, stream, System.nanoTime()));
		return () -> {
			if (this.streams.remove(stream) != null && !this.closed) {
				write(MeshFrame.newBuilder().setCancel(MeshCancel.newBuilder().setStream(stream)).build());
			}
		};
	}

	private void write(MeshFrame frame) {
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
	}

	/**
	 * Checks that the other node answers.
	 * @param now current time in nanoseconds
	 */
	void tick(long now) {
		long silence = now - this.lastRead;
		if (this.pinging && now - this.pingSent > SILENT_AFTER && silence > SILENT_AFTER) {
			silent();
			return;
		}
		long due = this.streams.isEmpty() ? IDLE_PING : PING_AFTER;
		if (!this.pinging && silence > due) {
			this.pinging = true;
			this.pingSent = now;
			write(MeshFrame.newBuilder().setPing(this.ownPing.get().toBuilder().setAcknowledgement(false)).build());
		}
	}

	// Calls that may be repeated end; the others wait, since their answer cannot come
	// from elsewhere.
	private void silent() {
		this.listener.silent();
		List<Stream> repeatable = new ArrayList<>();
		this.streams.entrySet().removeIf((entry) -> {
			if (!entry.getValue().idempotent) {
				return false;
			}
			repeatable.add(entry.getValue());
			write(MeshFrame.newBuilder().setCancel(MeshCancel.newBuilder().setStream(entry.getKey())).build());
			return true;
		});
		if (this.streams.isEmpty()) {
			close();
		}
		repeatable.forEach((stream) -> stream.listener.ended(new CallResult.Failed("link-silent")));
	}

	void close() {
		this.channel.close();
	}

	/**
	 * Closes the link once its calls have ended.
	 */
	void closeWhenIdle() {
		this.closing = true;
		if (this.streams.isEmpty()) {
			close();
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, MeshFrame frame) {
		this.lastRead = System.nanoTime();
		if (this.pinging) {
			this.pinging = false;
			this.listener.answering();
		}
		switch (frame.getContentCase()) {
			case REPLY -> reply(frame.getReply());
			case PING -> this.listener.ping(frame.getPing());
			default -> logger.debugf("event=frame-ignored content=%s", frame.getContentCase());
		}
	}

	private void reply(MeshReply reply) {
		if (reply.hasLoad()) {
			MeshLoad load = reply.getLoad();
			this.listener
				.load(new MemberLoadReport(Math.max(1, load.getLimit()), load.getRunning(), load.getWaiting()));
		}
		Stream stream = this.streams.remove(reply.getStream());
		if (stream != null) {
			this.listener.origin(stream.route(), CallMessages.toOrigin(reply.getOrigin()));
			stream.listener.ended(CallMessages.toResult(reply));
		}
		if (this.closing && this.streams.isEmpty()) {
			close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closed = true;
		List<Stream> lost = List.copyOf(this.streams.values());
		this.streams.clear();
		this.listener.closed();
		lost.forEach((stream) -> stream.listener.ended(new CallResult.Failed("link-lost")));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debugf("event=link-failed peer=%s reason=\"%s\"", context.channel().remoteAddress(), cause);
		context.close();
	}

	private record Stream(String route, boolean idempotent, CallListener listener) {

	}

	/**
	 * Receives what a link tells of the other node.
	 */
	interface Listener {

		/**
		 * The load of the server beside the other node.
		 * @param load load
		 */
		void load(MemberLoadReport load);

		/**
		 * Who calls a route.
		 * @param route name of the route
		 * @param origin origin of its calls
		 */
		void origin(String route, CallOrigin origin);

		/**
		 * The other node told its state.
		 * @param ping state
		 */
		void ping(MeshPing ping);

		/**
		 * The other node does not answer.
		 */
		void silent();

		/**
		 * The other node answers again.
		 */
		void answering();

		/**
		 * The connection has ended.
		 */
		void closed();

	}

}
