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
import org.wasabicart.core.overload.Shortage;
import org.wasabicart.wire.generated.mesh.MeshAllotmentGrant;
import org.wasabicart.wire.generated.mesh.MeshAllotmentReport;
import org.wasabicart.wire.generated.mesh.MeshCancel;
import org.wasabicart.wire.generated.mesh.MeshFrame;
import org.wasabicart.wire.generated.mesh.MeshPing;
import org.wasabicart.wire.generated.mesh.MeshReply;

/**
 * Client side of a link: sends calls to one other node.
 */
final class ClientLink extends SimpleChannelInboundHandler<MeshFrame> {

	private static final Logger logger = Logger.getLogger(ClientLink.class);

	/** Time without received data, with calls in progress, after which a ping is sent. */
	private static final long PING_DELAY = TimeUnit.MILLISECONDS.toNanos(250);

	/** Time after an unanswered ping at which the link is silent; several round trips. */
	private static final long PING_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(600);

	private final Map<Long, Stream> streams = new HashMap<>();

	private final Supplier<MeshPing> ownPing;

	private final Listener listener;

	private Channel channel;

	private long nextStream = 1;

	private long lastRead;

	private long pingSent;

	private boolean pingOutstanding;

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

	/**
	 * Sends a report to the coordinator of the allotments.
	 * @param report report
	 */
	void sendReport(MeshAllotmentReport report) {
		write(MeshFrame.newBuilder().setAllotmentReport(report).build());
	}

	private void write(MeshFrame frame) {
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
	}

	/**
	 * Sends a ping on a new connection. The kernel of a VM accepts connections also while
	 * its node is suspended, so only an answer shows that the node runs.
	 */
	@Override
	public void channelActive(ChannelHandlerContext context) {
		sendPing(System.nanoTime());
	}

	/**
	 * Sends a ping when one is due and checks that the other node responds.
	 * @param now current time in nanoseconds
	 * @param idlePingDelay time in nanoseconds without received data, and without calls,
	 * after which a ping is sent
	 */
	void tick(long now, long idlePingDelay) {
		long sinceLastRead = now - this.lastRead;
		if (this.pingOutstanding && now - this.pingSent > PING_TIMEOUT && sinceLastRead > PING_TIMEOUT) {
			handleSilentLink();
			return;
		}
		long pingDelay = this.streams.isEmpty() ? idlePingDelay : PING_DELAY;
		if (!this.pingOutstanding && sinceLastRead > pingDelay) {
			sendPing(now);
		}
	}

	/**
	 * Sends a ping unless one is unanswered.
	 * @param now current time in nanoseconds
	 */
	void ping(long now) {
		if (!this.pingOutstanding) {
			sendPing(now);
		}
	}

	private void sendPing(long now) {
		this.pingOutstanding = true;
		this.pingSent = now;
		write(MeshFrame.newBuilder().setPing(this.ownPing.get().toBuilder().setAcknowledgement(false)).build());
	}

	// Fails idempotent calls, which can be retried on another node. The others stay open,
	// since only the node of this link can return their results.
	private void handleSilentLink() {
		this.listener.linkSilent();
		List<Stream> idempotentStreams = new ArrayList<>();
		this.streams.entrySet().removeIf((entry) -> {
			if (!entry.getValue().idempotent) {
				return false;
			}
			idempotentStreams.add(entry.getValue());
			write(MeshFrame.newBuilder().setCancel(MeshCancel.newBuilder().setStream(entry.getKey())).build());
			return true;
		});
		if (this.streams.isEmpty()) {
			close();
		}
		idempotentStreams.forEach((stream) -> stream.listener.ended(new CallResult.Failed("link-silent")));
	}

	void close() {
		this.channel.close();
	}

	/**
	 * Closes the link once all of its calls have ended.
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
		if (this.pingOutstanding) {
			this.pingOutstanding = false;
			this.listener.linkAnswering();
		}
		switch (frame.getContentCase()) {
			case REPLY -> handleReply(frame.getReply());
			case PING -> this.listener.pingReceived(frame.getPing());
			case ALLOTMENT_GRANT -> this.listener.allotmentGranted(frame.getAllotmentGrant());
			default -> logger.debugf("event=frame-ignored content=%s", frame.getContentCase());
		}
	}

	private void handleReply(MeshReply reply) {
		if (reply.hasLoad()) {
			this.listener.loadReported(CallMessages.toLoadReport(reply.getLoad()));
		}
		Stream stream = this.streams.remove(reply.getStream());
		if (stream != null) {
			this.listener.originReported(stream.route(), CallMessages.toOrigin(reply.getOrigin()));
			long now = System.nanoTime();
			ShortageMessages.toReports(reply.getLoad(), now)
				.ifPresent((reports) -> this.listener.shortagesReported(stream.route(), reports, now));
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
		this.listener.linkClosed();
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
	 * Receives the state of the link and what the other node reports.
	 */
	interface Listener {

		/**
		 * The other node has reported the load of its server.
		 * @param load load
		 */
		void loadReported(MemberLoadReport load);

		/**
		 * The other node has reported the origin of the calls of a route.
		 * @param route name of the route
		 * @param origin kind of caller that sends the calls
		 */
		void originReported(String route, CallOrigin origin);

		/**
		 * The other node has reported the services that are short.
		 * @param route name of the route of the call
		 * @param reports shortages
		 * @param now current time in nanoseconds
		 */
		void shortagesReported(String route, List<Shortage> reports, long now);

		/**
		 * The other node has sent a ping or acknowledged one.
		 * @param ping ping with the state of the other node
		 */
		void pingReceived(MeshPing ping);

		/**
		 * The other node has answered a report on allotments or sent a notice.
		 * @param grant grant
		 */
		void allotmentGranted(MeshAllotmentGrant grant);

		/**
		 * The other node has not answered a ping in time.
		 */
		void linkSilent();

		/**
		 * The other node has sent data after a ping, so the link works.
		 */
		void linkAnswering();

		/**
		 * The connection is closed.
		 */
		void linkClosed();

	}

}
