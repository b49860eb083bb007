package org.wasabicart.node.link;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;

import org.wasabicart.core.link.BodyState;
import org.wasabicart.core.link.LinkCheck;
import org.wasabicart.core.link.LinkHealth;
import org.wasabicart.core.link.StreamTable;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.wire.generated.link.Cancel;
import org.wasabicart.wire.generated.link.Chunk;
import org.wasabicart.wire.generated.link.ControlResponse;
import org.wasabicart.wire.generated.link.Frame;
import org.wasabicart.wire.generated.link.Heartbeat;
import org.wasabicart.wire.generated.link.Response;
import org.wasabicart.wire.generated.link.WindowUpdate;

/**
 * Client side of an established link. Opens its streams. Confined to the channel's event
 * loop.
 */
final class ClientLink extends SimpleChannelInboundHandler<Frame> {

	private static final Logger logger = Logger.getLogger(ClientLink.class);

	private final LinkEnvironment environment;

	private final Channel channel;

	private final StreamTable<ClientStream> streams;

	private final BodyWriter writer;

	private final LinkHealthChecker healthChecker;

	private Future<?> idleTimer;

	private long heartbeatSequence;

	/** Takes no new streams, and closes after its last one. */
	private boolean retired;

	ClientLink(LinkEnvironment environment, Channel channel, long epoch) {
		super(Frame.class);
		this.environment = environment;
		this.channel = channel;
		this.streams = new StreamTable<>(epoch, environment.limits().maximumStreams());
		this.writer = new BodyWriter(channel, epoch, environment.limits(),
				(stream) -> this.streams.get(epoch, stream).ifPresent(ClientStream::markEndSent));
		this.healthChecker = new LinkHealthChecker(channel, environment.ticker(), LinkHealthChecker.CLIENT_SILENT_AFTER,
				() -> this.streams.size() > 0, this::onCheck);
	}

	Channel channel() {
		return this.channel;
	}

	// Whether new streams may use this link.
	boolean usable() {
		return !this.retired && this.channel.isActive();
	}

	void open(ClientStream stream) {
		OptionalLong number = this.streams.open(stream);
		if (number.isEmpty()) {
			stream.end(RefusalReason.TABLE_FULL, FailureReason.CONNECTION_LOST);
			return;
		}
		stream.opened(this, number.getAsLong());
		Frame frame = stream.headFrame(this.streams.epoch(), number.getAsLong(),
				this.environment.ticker().nanoseconds());
		if (frame.getSerializedSize() > this.environment.limits().maximumHeadBytes()
				|| stream.body().length > this.environment.limits().maximumBodyBytes()) {
			this.streams.remove(this.streams.epoch(), number.getAsLong());
			stream.end(RefusalReason.BAD_REQUEST, FailureReason.CONNECTION_LOST);
			return;
		}
		cancelIdleTimer();
		this.healthChecker.start();
		this.writer.add(number.getAsLong(), frame, stream.body());
	}

	// Removes a stream that ends without a whole response, and cancels it at the peer.
	void cancelStream(ClientStream stream) {
		if (this.streams.remove(this.streams.epoch(), stream.number()).isEmpty()) {
			return;
		}
		Cancel cancel = Cancel.newBuilder().setEpoch(this.streams.epoch()).setStream(stream.number()).build();
		this.channel.writeAndFlush(Frame.newBuilder().setCancel(cancel).build());
		releaseStream(stream);
	}

	// Frees the resources of a stream that was removed from the table.
	private void releaseStream(ClientStream stream) {
		this.writer.remove(stream.number());
		this.environment.receiveBudget().release(stream.announcedBodyBytes());
		if (this.streams.size() > 0) {
			return;
		}
		if (this.retired) {
			this.channel.close();
			return;
		}
		cancelIdleTimer();
		this.idleTimer = this.channel.eventLoop()
			.schedule(this::closeIdle, this.environment.limits().idleTimeout().toMillis(), TimeUnit.MILLISECONDS);
	}

	private void cancelIdleTimer() {
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
			this.idleTimer = null;
		}
	}

	private void closeIdle() {
		if (this.streams.size() == 0) {
			this.retired = true;
			this.channel.close();
		}
	}

	private void onCheck(LinkCheck check) {
		if (check.health() == LinkHealth.SILENT) {
			logger.warnf("event=link-silent peer=%s streams=%d", this.channel.remoteAddress(), this.streams.size());
			// A linger time of zero discards the data that is still to be sent.
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
			this.channel.close();
			return;
		}
		if (check.health() == LinkHealth.SUSPECT) {
			this.retired = true;
		}
		if (check.heartbeatDue()) {
			this.heartbeatSequence++;
			this.channel.writeAndFlush(Frame.newBuilder()
				.setHeartbeat(Heartbeat.newBuilder().setSequence(this.heartbeatSequence))
				.build());
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		this.healthChecker.frameReceived();
		switch (frame.getContentCase()) {
			case RESPONSE -> handleResponse(frame.getResponse());
			case CHUNK -> handleChunk(frame.getChunk());
			case CONTROL_RESPONSE -> handleControlResponse(frame.getControlResponse());
			case WINDOW_UPDATE -> handleWindowUpdate(frame.getWindowUpdate());
			default -> logger.tracef("event=frame-ignored content=%s", frame.getContentCase());
		}
	}

	private void handleResponse(Response response) {
		ClientStream stream = this.streams.get(response.getEpoch(), response.getStream()).orElse(null);
		if (stream == null || stream.hasHead()) {
			return;
		}
		long bodyBytes = response.getBodyBytes();
		if (bodyBytes < 0 || bodyBytes > this.environment.limits().maximumBodyBytes()
				|| !this.environment.receiveBudget().reserve((int) bodyBytes)) {
			failIncomplete(stream);
			return;
		}
		stream.startResponse(response, this.environment.limits().windowBytes());
	}

	private void handleChunk(Chunk chunk) {
		ClientStream stream = this.streams.get(chunk.getEpoch(), chunk.getStream()).orElse(null);
		if (stream == null) {
			return;
		}
		BodyState state = stream.hasHead() ? stream.addChunk(chunk) : BodyState.INVALID;
		switch (state) {
			case PARTIAL -> sendWindowUpdate(stream);
			case COMPLETE -> {
				this.streams.remove(chunk.getEpoch(), chunk.getStream());
				releaseStream(stream);
				stream.complete();
			}
			case INVALID -> failIncomplete(stream);
		}
	}

	private void failIncomplete(ClientStream stream) {
		cancelStream(stream);
		// The peer has responded, so it has received the call even if the end of the body
		// was not sent: the stream must end with a failure, not with a refusal.
		stream.markEndSent();
		stream.end(RefusalReason.UNREACHABLE, FailureReason.INCOMPLETE_ANSWER);
	}

	private void sendWindowUpdate(ClientStream stream) {
		int bytes = stream.takeGrant();
		if (bytes > 0) {
			this.channel.writeAndFlush(Frame.newBuilder()
				.setWindowUpdate(WindowUpdate.newBuilder()
					.setEpoch(this.streams.epoch())
					.setStream(stream.number())
					.setBytes(bytes))
				.build());
		}
	}

	private void handleWindowUpdate(WindowUpdate update) {
		if (update.getEpoch() == this.streams.epoch()) {
			this.writer.grant(update.getStream(), update.getBytes());
		}
	}

	private void handleControlResponse(ControlResponse response) {
		ClientStream stream = this.streams.get(this.streams.epoch(), response.getNumber()).orElse(null);
		if (stream instanceof ControlStream controlStream) {
			this.streams.remove(this.streams.epoch(), response.getNumber());
			releaseStream(controlStream);
			controlStream.completeWith(response);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		this.writer.writePending();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.retired = true;
		this.healthChecker.stop();
		cancelIdleTimer();
		for (ClientStream stream : this.streams.close()) {
			this.writer.remove(stream.number());
			this.environment.receiveBudget().release(stream.announcedBodyBytes());
			stream.end(RefusalReason.UNREACHABLE, FailureReason.CONNECTION_LOST);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debugf("event=link-failed peer=%s reason=\"%s\"", this.channel.remoteAddress(), cause);
		context.close();
	}

}
