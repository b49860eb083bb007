package org.wasabicart.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.GateRefusal;
import org.wasabicart.core.mesh.MemberLoadReport;
import org.wasabicart.core.overload.OverloadSignals;
import org.wasabicart.mesh.allotment.AllotmentReports;
import org.wasabicart.wire.generated.mesh.MeshAllotmentGrant;
import org.wasabicart.wire.generated.mesh.MeshCall;
import org.wasabicart.wire.generated.mesh.MeshFrame;
import org.wasabicart.wire.generated.mesh.MeshPing;

/**
 * Server side of a link: passes the calls of one other node to the local backend server.
 */
final class ServerLink extends SimpleChannelInboundHandler<MeshFrame> {

	private static final Logger logger = Logger.getLogger(ServerLink.class);

	private final LocalBackend backend;

	private final NodeCalls nodeCalls;

	private final Supplier<MeshPing> ownPing;

	private final Consumer<MeshPing> pingListener;

	private final Set<ServerLink> openLinks;

	private final LongSupplier receiveDelay;

	private final OverloadSignals signals;

	private final AllotmentReports allotmentReports;

	private final Map<Long, CallHandle> calls = new HashMap<>();

	private Channel channel;

	private String region = "";

	/**
	 * Creates a handler for one link.
	 * @param backend runs the calls
	 * @param nodeCalls answers the calls for the node itself
	 * @param ownPing provides a ping with the state of this node
	 * @param pingListener receives the pings of the other node
	 * @param openLinks open links, which contain this one while it is open
	 * @param receiveDelay returns the time in nanoseconds for which data that is read now
	 * may have been buffered
	 * @param signals shortages that are reported with the replies
	 * @param allotmentReports receives the reports of the other node on allotments
	 */
	ServerLink(LocalBackend backend, NodeCalls nodeCalls, Supplier<MeshPing> ownPing, Consumer<MeshPing> pingListener,
			Set<ServerLink> openLinks, LongSupplier receiveDelay, OverloadSignals signals,
			AllotmentReports allotmentReports) {
		super(MeshFrame.class);
		this.backend = Objects.requireNonNull(backend, "backend");
		this.nodeCalls = Objects.requireNonNull(nodeCalls, "nodeCalls");
		this.ownPing = ownPing;
		this.pingListener = pingListener;
		this.openLinks = Objects.requireNonNull(openLinks, "openLinks");
		this.receiveDelay = Objects.requireNonNull(receiveDelay, "receiveDelay");
		this.signals = Objects.requireNonNull(signals, "signals");
		this.allotmentReports = Objects.requireNonNull(allotmentReports, "allotmentReports");
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, MeshFrame frame) {
		switch (frame.getContentCase()) {
			case CALL -> handleCall(frame.getCall());
			case CANCEL -> cancel(frame.getCancel().getStream());
			case PING -> {
				this.region = frame.getPing().getRegion();
				this.pingListener.accept(frame.getPing());
				if (!frame.getPing().getAcknowledgement()) {
					reportState();
				}
			}
			case ALLOTMENT_REPORT -> this.allotmentReports.received(this, frame.getAllotmentReport(), this::sendGrant);
			default -> logger.debugf("event=frame-ignored content=%s", frame.getContentCase());
		}
	}

	/**
	 * Sends the state of this node to the other node.
	 */
	void reportState() {
		write(MeshFrame.newBuilder().setPing(this.ownPing.get()).build());
	}

	/**
	 * Sends the load of the local server to the other node if that is in a region.
	 * @param name name of the region
	 */
	void reportLoad(String name) {
		MemberLoadReport load = this.backend.load(System.nanoTime());
		if (load != null && this.region.equals(name)) {
			write(CallMessages.toFrame(load));
		}
	}

	/**
	 * Returns whether the other node has yet to read replies.
	 * @return whether bytes are waiting to be written
	 */
	boolean hasUnwrittenReplies() {
		return FrameCodec.unwrittenBytes(this.channel.pipeline()) > 0;
	}

	private void handleCall(MeshCall message) {
		long stream = message.getStream();
		long delay = this.receiveDelay.getAsLong();
		long now = System.nanoTime();
		Call call;
		try {
			call = CallMessages.toCall(message, now - delay);
		}
		catch (IllegalArgumentException ex) {
			logger.warnf("event=call-malformed peer=%s request=%s reason=\"%s\"", this.channel.remoteAddress(),
					message.getRequestId(), LogReason.of(ex));
			reply(message, new CallResult.Refused(GateRefusal.MALFORMED, false));
			return;
		}
		if (NodeCalls.isNodeCall(call)) {
			reply(message, this.nodeCalls.answer(call));
			return;
		}
		if (delay > 0 && call.deadline() - now <= 0) {
			// The sender may have stopped waiting. If not, it can use another server.
			logger.infof("event=call-delayed request=%s delay_ms=%d", call.requestId(),
					TimeUnit.NANOSECONDS.toMillis(delay));
			reply(message, new CallResult.Refused(GateRefusal.DELAYED, false));
			return;
		}
		boolean[] ended = new boolean[1];
		CallHandle handle = this.backend.handle(call, (result) -> {
			ended[0] = true;
			this.calls.remove(stream);
			reply(message, result);
		});
		if (!ended[0]) {
			this.calls.put(stream, handle);
		}
	}

	private void reply(MeshCall message, CallResult result) {
		long now = System.nanoTime();
		MeshFrame frame = CallMessages.toFrame(result, message.getStream(), this.backend.load(now),
				this.backend.origin(message.getRoute()));
		write(this.signals.reports(message.getRoute(), now)
			.map((reports) -> ShortageMessages.withReports(frame, reports, now))
			.orElse(frame));
	}

	private void cancel(long stream) {
		CallHandle handle = this.calls.remove(stream);
		if (handle != null) {
			handle.cancel();
		}
	}

	private void sendGrant(MeshAllotmentGrant grant) {
		write(MeshFrame.newBuilder().setAllotmentGrant(grant).build());
	}

	private void write(MeshFrame frame) {
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.openLinks.add(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.openLinks.remove(this);
		this.allotmentReports.closed(this);
		List<CallHandle> open = List.copyOf(this.calls.values());
		this.calls.clear();
		open.forEach(CallHandle::cancel);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debugf("event=link-failed peer=%s reason=\"%s\"", context.channel().remoteAddress(), cause);
		context.close();
	}

}
