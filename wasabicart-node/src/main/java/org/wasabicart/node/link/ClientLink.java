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
 * Opening side of an established link. Confined to the channel's event loop.
 */
final class ClientLink extends SimpleChannelInboundHandler<Frame> {

	private static final Logger logger = Logger.getLogger(ClientLink.class);

	private final LinkEnvironment environment;

	private final Channel channel;

	private final StreamTable<ClientStream> streams;

	private final BodyWriter writer;

	private final LinkPulse pulse;

	private Future<?> idle;

	private long heartbeats;

	private boolean retired;

	ClientLink(LinkEnvironment environment, Channel channel, long epoch) {
		super(Frame.class);
		this.environment = environment;
		this.channel = channel;
		this.streams = new StreamTable<>(epoch, environment.limits().maximumStreams());
		this.writer = new BodyWriter(channel, epoch, environment.limits(),
				(stream) -> this.streams.get(epoch, stream).ifPresent(ClientStream::endSent));
		this.pulse = new LinkPulse(channel, environment.ticker(), LinkPulse.CLIENT_SILENT_AFTER,
				() -> this.streams.size() > 0, this::checked);
	}

	Channel channel() {
		return this.channel;
	}

	// Whether new work may use this link.
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
		Frame frame = stream.frame(this.streams.epoch(), number.getAsLong(), this.environment.ticker().nanoseconds());
		if (frame.getSerializedSize() > this.environment.limits().maximumHeadBytes()
				|| stream.body().length > this.environment.limits().maximumBodyBytes()) {
			this.streams.remove(this.streams.epoch(), number.getAsLong());
			stream.end(RefusalReason.BAD_REQUEST, FailureReason.CONNECTION_LOST);
			return;
		}
		cancelIdle();
		this.pulse.start();
		this.writer.add(number.getAsLong(), frame, stream.body());
	}

	// Drops a stream that ends without a response.
	void forget(ClientStream stream) {
		if (this.streams.remove(this.streams.epoch(), stream.number()).isEmpty()) {
			return;
		}
		Cancel cancel = Cancel.newBuilder().setEpoch(this.streams.epoch()).setStream(stream.number()).build();
		this.channel.writeAndFlush(Frame.newBuilder().setCancel(cancel).build());
		removed(stream);
	}

	private void removed(ClientStream stream) {
		this.writer.remove(stream.number());
		this.environment.buffers().release(stream.announcedBytes());
		if (this.streams.size() > 0) {
			return;
		}
		if (this.retired) {
			this.channel.close();
			return;
		}
		cancelIdle();
		this.idle = this.channel.eventLoop()
			.schedule(this::closeIdle, this.environment.limits().idleTimeout().toMillis(), TimeUnit.MILLISECONDS);
	}

	private void cancelIdle() {
		if (this.idle != null) {
			this.idle.cancel(false);
			this.idle = null;
		}
	}

	private void closeIdle() {
		if (this.streams.size() == 0) {
			this.retired = true;
			this.channel.close();
		}
	}

	private void checked(LinkCheck check) {
		if (check.health() == LinkHealth.SILENT) {
			logger.warnf("event=link-silent peer=%s streams=%d", this.channel.remoteAddress(), this.streams.size());
			// Discards what the silent connection has not sent yet.
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
			this.channel.close();
			return;
		}
		if (check.health() == LinkHealth.SUSPECT) {
			this.retired = true;
		}
		if (check.heartbeatDue()) {
			this.heartbeats++;
			this.channel.writeAndFlush(
					Frame.newBuilder().setHeartbeat(Heartbeat.newBuilder().setSequence(this.heartbeats)).build());
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		this.pulse.progress();
		switch (frame.getContentCase()) {
			case RESPONSE -> response(frame.getResponse());
			case CHUNK -> chunk(frame.getChunk());
			case CONTROL_RESPONSE -> control(frame.getControlResponse());
			case WINDOW_UPDATE -> grant(frame.getWindowUpdate());
			default -> logger.tracef("event=frame-ignored content=%s", frame.getContentCase());
		}
	}

	private void response(Response response) {
		ClientStream stream = this.streams.get(response.getEpoch(), response.getStream()).orElse(null);
		if (stream == null || stream.hasHead()) {
			return;
		}
		long bodyBytes = response.getBodyBytes();
		if (bodyBytes < 0 || bodyBytes > this.environment.limits().maximumBodyBytes()
				|| !this.environment.buffers().reserve((int) bodyBytes)) {
			incomplete(stream);
			return;
		}
		stream.head(response, this.environment.limits().windowBytes());
	}

	private void chunk(Chunk chunk) {
		ClientStream stream = this.streams.get(chunk.getEpoch(), chunk.getStream()).orElse(null);
		if (stream == null) {
			return;
		}
		BodyState state = stream.hasHead() ? stream.chunk(chunk) : BodyState.INVALID;
		switch (state) {
			case PARTIAL -> grant(stream);
			case COMPLETE -> {
				this.streams.remove(chunk.getEpoch(), chunk.getStream());
				removed(stream);
				stream.complete();
			}
			case INVALID -> incomplete(stream);
		}
	}

	private void incomplete(ClientStream stream) {
		forget(stream);
		// A peer that answers has seen the call, whatever was sent of it.
		stream.endSent();
		stream.end(RefusalReason.UNREACHABLE, FailureReason.INCOMPLETE_ANSWER);
	}

	private void grant(ClientStream stream) {
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

	private void grant(WindowUpdate update) {
		if (update.getEpoch() == this.streams.epoch()) {
			this.writer.grant(update.getStream(), update.getBytes());
		}
	}

	private void control(ControlResponse response) {
		ClientStream stream = this.streams.get(this.streams.epoch(), response.getNumber()).orElse(null);
		if (stream instanceof ControlStream control) {
			this.streams.remove(this.streams.epoch(), response.getNumber());
			removed(control);
			control.answer(response);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		this.writer.pump();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.retired = true;
		this.pulse.stop();
		cancelIdle();
		for (ClientStream stream : this.streams.close()) {
			this.writer.remove(stream.number());
			this.environment.buffers().release(stream.announcedBytes());
			stream.end(RefusalReason.UNREACHABLE, FailureReason.CONNECTION_LOST);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debugf("event=link-failed peer=%s reason=\"%s\"", this.channel.remoteAddress(), cause);
		context.close();
	}

}
