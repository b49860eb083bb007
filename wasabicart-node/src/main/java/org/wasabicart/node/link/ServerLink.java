package org.wasabicart.node.link;

import java.time.Duration;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jboss.logging.Logger;

import org.wasabicart.core.link.BodyAssembler;
import org.wasabicart.core.link.LinkCheck;
import org.wasabicart.core.link.LinkHealth;
import org.wasabicart.core.link.StreamAcceptance;
import org.wasabicart.core.link.StreamTable;
import org.wasabicart.core.model.FailureReason;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.ControlHandler;
import org.wasabicart.wire.WireFormatException;
import org.wasabicart.wire.generated.link.Call;
import org.wasabicart.wire.generated.link.Cancel;
import org.wasabicart.wire.generated.link.Chunk;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;
import org.wasabicart.wire.generated.link.Frame;
import org.wasabicart.wire.generated.link.Heartbeat;
import org.wasabicart.wire.generated.link.Response;
import org.wasabicart.wire.generated.link.Result;
import org.wasabicart.wire.generated.link.WindowUpdate;

/**
 * Server side of an established link. Runs a call only when its whole body has arrived.
 * Confined to the channel's event loop.
 */
final class ServerLink extends SimpleChannelInboundHandler<Frame> {

	private static final Logger logger = Logger.getLogger(ServerLink.class);

	private static final byte[] NO_BODY = {};

	private final LinkEnvironment environment;

	private final Channel channel;

	private final StreamTable<ServerStream> streams;

	private final BodyWriter writer;

	private final LinkHealthChecker healthChecker;

	private final CallHandler callHandler;

	private final ControlHandler controlHandler;

	ServerLink(LinkEnvironment environment, Channel channel, long epoch, CallHandler callHandler,
			ControlHandler controlHandler) {
		super(Frame.class);
		this.environment = environment;
		this.channel = channel;
		this.callHandler = callHandler;
		this.controlHandler = controlHandler;
		this.streams = new StreamTable<>(epoch, environment.limits().maximumStreams());
		this.writer = new BodyWriter(channel, epoch, environment.limits(),
				(stream) -> this.streams.remove(epoch, stream));
		this.healthChecker = new LinkHealthChecker(channel, environment.ticker(), LinkHealthChecker.SERVER_SILENT_AFTER,
				() -> this.streams.size() > 0, this::onCheck);
	}

	private void onCheck(LinkCheck check) {
		if (check.health() == LinkHealth.SILENT) {
			logger.warnf("event=link-silent peer=%s streams=%d", this.channel.remoteAddress(), this.streams.size());
			this.channel.close();
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		this.healthChecker.frameReceived();
		switch (frame.getContentCase()) {
			case CALL -> handleCall(frame.getCall());
			case CHUNK -> handleChunk(frame.getChunk());
			case CANCEL -> handleCancel(frame.getCancel());
			case WINDOW_UPDATE -> handleWindowUpdate(frame.getWindowUpdate());
			case CONTROL_REQUEST -> handleControlRequest(frame.getControlRequest());
			case HEARTBEAT -> handleHeartbeat(frame.getHeartbeat());
			default -> logger.tracef("event=frame-ignored content=%s", frame.getContentCase());
		}
	}

	private void handleCall(Call call) {
		long bodyBytes = call.getBodyBytes();
		boolean validLength = bodyBytes >= 0 && bodyBytes <= this.environment.limits().maximumBodyBytes();
		BodyAssembler assembler = null;
		RefusalReason refusal = validLength ? RefusalReason.TABLE_FULL : RefusalReason.BAD_REQUEST;
		if (validLength && this.environment.receiveBudget().reserve((int) bodyBytes)) {
			assembler = new BodyAssembler((int) bodyBytes, this.environment.limits().windowBytes());
		}
		ServerStream stream = new ServerStream(call.getStream(), call, assembler);
		StreamAcceptance acceptance = this.streams.accept(call.getEpoch(), call.getStream(), stream);
		if (acceptance != StreamAcceptance.ACCEPTED) {
			releaseBody(stream);
		}
		if (acceptance == StreamAcceptance.FULL) {
			writeResponse(stream.number(), refusedResponse(RefusalReason.TABLE_FULL));
		}
		if (acceptance == StreamAcceptance.ACCEPTED) {
			this.healthChecker.start();
			if (assembler == null) {
				respond(stream, refusedResponse(refusal));
			}
		}
	}

	private void handleChunk(Chunk chunk) {
		ServerStream stream = this.streams.get(chunk.getEpoch(), chunk.getStream()).orElse(null);
		if (stream == null || !stream.receiving()) {
			return;
		}
		switch (stream.assembler().add(chunk.getOffset(), chunk.getData().toByteArray(), chunk.getEnd())) {
			case PARTIAL -> sendWindowUpdate(stream);
			case COMPLETE -> {
				releaseBody(stream);
				runCall(stream);
			}
			case INVALID -> {
				releaseBody(stream);
				respond(stream, refusedResponse(RefusalReason.BAD_REQUEST));
			}
		}
	}

	private void runCall(ServerStream stream) {
		try {
			stream.setRunningCall(this.callHandler.handle(
					CallCodec.toRequest(stream.call(), stream.assembler().body(),
							this.environment.ticker().nanoseconds()),
					(response) -> onEventLoop(() -> respond(stream, response))));
		}
		catch (WireFormatException ex) {
			logger.debugf("event=call-malformed peer=%s reason=\"%s\"", this.channel.remoteAddress(), ex.getMessage());
			respond(stream, refusedResponse(RefusalReason.BAD_REQUEST));
		}
		catch (RuntimeException ex) {
			logger.errorf(ex, "event=call-handler-failed request=%s", stream.call().getRootRequestId());
			respond(stream, CallResponse.withoutBody(new Outcome.Failed(FailureReason.BACKEND_ERROR, false), 0));
		}
	}

	private void onEventLoop(Runnable task) {
		if (this.channel.eventLoop().inEventLoop()) {
			task.run();
		}
		else {
			this.channel.eventLoop().execute(task);
		}
	}

	private void respond(ServerStream stream, CallResponse response) {
		boolean open = this.streams.get(this.streams.epoch(), stream.number()).filter(stream::equals).isPresent();
		if (!open || stream.responded()) {
			return;
		}
		stream.markResponded();
		writeResponse(stream.number(), response);
	}

	private void writeResponse(long number, CallResponse response) {
		Frame head = responseFrame(number, CallCodec.toHead(response));
		byte[] body = response.body();
		if (head.getSerializedSize() > this.environment.limits().maximumHeadBytes()
				|| body.length > this.environment.limits().maximumBodyBytes()) {
			logger.warnf("event=response-too-large peer=%s bytes=%d", this.channel.remoteAddress(), body.length);
			Outcome outcome = new Outcome.Failed(FailureReason.INCOMPLETE_ANSWER, false);
			head = responseFrame(number,
					CallCodec.toHead(CallResponse.withoutBody(outcome, response.unspentRetryAllowance())));
			body = NO_BODY;
		}
		this.writer.add(number, head, body);
	}

	private Frame responseFrame(long number, Response.Builder head) {
		return Frame.newBuilder().setResponse(head.setEpoch(this.streams.epoch()).setStream(number)).build();
	}

	private static CallResponse refusedResponse(RefusalReason reason) {
		return CallResponse.withoutBody(new Outcome.Refused(reason, Duration.ZERO), 0);
	}

	private void handleControlRequest(ControlRequest request) {
		ServerStream stream = new ServerStream(request.getNumber(), null, null);
		if (this.streams.accept(this.streams.epoch(), request.getNumber(), stream) != StreamAcceptance.ACCEPTED) {
			return;
		}
		this.healthChecker.start();
		this.controlHandler.handle(request)
			.whenComplete((response, failure) -> onEventLoop(() -> respondToControl(stream, response, failure)));
	}

	private void respondToControl(ServerStream stream, ControlResponse response, Throwable failure) {
		if (this.streams.get(this.streams.epoch(), stream.number()).isEmpty()) {
			return;
		}
		if (failure != null) {
			logger.warnf(failure, "event=control-handler-failed peer=%s", this.channel.remoteAddress());
			this.streams.remove(this.streams.epoch(), stream.number());
			return;
		}
		ControlResponse numbered = response.toBuilder().setNumber(stream.number()).build();
		if (numbered.getSerializedSize() <= this.environment.limits().chunkBytes()) {
			this.streams.remove(this.streams.epoch(), stream.number());
			this.channel.writeAndFlush(Frame.newBuilder().setControlResponse(numbered).build());
			return;
		}
		byte[] body = numbered.toByteArray();
		Response.Builder head = Response.newBuilder().setResult(Result.COMPLETED).setBodyBytes(body.length);
		this.writer.add(stream.number(), responseFrame(stream.number(), head), body);
	}

	private void sendWindowUpdate(ServerStream stream) {
		int bytes = stream.assembler().takeGrant();
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

	private void handleCancel(Cancel cancel) {
		this.streams.remove(cancel.getEpoch(), cancel.getStream()).ifPresent(this::endStream);
	}

	private void endStream(ServerStream stream) {
		this.writer.remove(stream.number());
		if (stream.receiving()) {
			releaseBody(stream);
		}
		stream.cancel();
	}

	private void releaseBody(ServerStream stream) {
		if (stream.assembler() != null) {
			this.environment.receiveBudget().release(stream.assembler().body().length);
		}
	}

	private void handleHeartbeat(Heartbeat heartbeat) {
		// If the channel is not writable, the data that is queued already shows the peer
		// that the link is alive.
		if (!heartbeat.getAcknowledgement() && this.channel.isWritable()) {
			this.channel
				.writeAndFlush(Frame.newBuilder().setHeartbeat(heartbeat.toBuilder().setAcknowledgement(true)).build());
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		this.writer.writePending();
		// Reads no more requests from a peer that does not read its responses.
		this.channel.config().setAutoRead(this.channel.isWritable());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.healthChecker.stop();
		this.streams.close().forEach(this::endStream);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debugf("event=link-failed peer=%s reason=\"%s\"", this.channel.remoteAddress(), cause);
		context.close();
	}

}
