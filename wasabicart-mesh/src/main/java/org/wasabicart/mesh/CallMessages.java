package org.wasabicart.mesh;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.UnsafeByteOperations;

import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.GateRefusal;
import org.wasabicart.core.mesh.MemberLoadReport;
import org.wasabicart.core.mesh.RateLimit;
import org.wasabicart.core.mesh.RequestPriority;
import org.wasabicart.core.model.FinalStatus;
import org.wasabicart.core.workspace.WorkspaceName;
import org.wasabicart.wire.generated.mesh.MeshCall;
import org.wasabicart.wire.generated.mesh.MeshFrame;
import org.wasabicart.wire.generated.mesh.MeshLoad;
import org.wasabicart.wire.generated.mesh.MeshOrigin;
import org.wasabicart.wire.generated.mesh.MeshReply;
import org.wasabicart.wire.generated.mesh.MeshResult;

/**
 * Converts calls and results to protobuf messages and back. Points in time are sent as
 * the remaining time, since the clocks of two VMs differ.
 */
final class CallMessages {

	/** Number that no call has. */
	private static final long NO_STREAM = 0;

	private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	/** Bound of learned values; a service time of 1,000 s. */
	private static final double MAXIMUM_VALUE = 1e6;

	private CallMessages() {
	}

	static MeshFrame toFrame(Call call, long stream, long now) {
		MeshCall.Builder message = MeshCall.newBuilder();
		call.knownRateLimit().ifPresent((limit) -> message.setRateLimit(limit.requestsPerSecond()));
		call.targetEnd().ifPresent((end) -> message.setTargetMilliseconds(signedMilliseconds(end, now)));
		call.workspace()
			.ifPresent((workspace) -> message.setWorkspace(workspace.value())
				.setWorkspacePriority(call.priority().workspace()));
		return MeshFrame.newBuilder()
			.setCall(message.setStream(stream)
				.setRequestId(call.requestId())
				.setMethod(call.method())
				.setTarget(call.target())
				.setHeaders(call.headers().toByteString())
				.setBody(UnsafeByteOperations.unsafeWrap(call.body()))
				.setRemainingMilliseconds(remainingMilliseconds(call.deadline(), now))
				.setInstance(call.instance())
				.setCallerService(call.callerService())
				.setIdempotent(call.idempotent())
				.setPriority(call.priority().route())
				.setPatienceMilliseconds(remainingMilliseconds(call.latestStart(), now))
				.setRoute(call.route()))
			.build();
	}

	private static int remainingMilliseconds(long time, long now) {
		return (int) Math.max(0, Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(time - now)));
	}

	private static int signedMilliseconds(long time, long now) {
		return (int) Math.max(Integer.MIN_VALUE,
				Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(time - now)));
	}

	/**
	 * Converts a message to the call that it describes.
	 * @param message message of another node
	 * @param now current time in nanoseconds
	 * @return the call
	 * @throws IllegalArgumentException if a part of the message would end the head of the
	 * request to the server, or the workspace has no valid name
	 */
	static Call toCall(MeshCall message, long now) {
		return new Call(message.getRequestId(), message.getMethod(), message.getTarget(),
				HeaderBlock.of(message.getHeaders()), message.getBody().toByteArray(),
				now + TimeUnit.MILLISECONDS.toNanos(message.getRemainingMilliseconds()), message.getInstance(),
				message.getCallerService(), message.getIdempotent(), priority(message),
				now + TimeUnit.MILLISECONDS.toNanos(message.getPatienceMilliseconds()), message.getRoute(),
				message.hasRateLimit() ? toRateLimit(message.getRateLimit()) : Optional.empty(),
				workspace(message.getWorkspace()),
				message.hasTargetMilliseconds()
						? OptionalLong.of(now + TimeUnit.MILLISECONDS.toNanos(message.getTargetMilliseconds()))
						: OptionalLong.empty());
	}

	private static RequestPriority priority(MeshCall message) {
		int workspace = message.getWorkspacePriority();
		if (!message.hasWorkspacePriority()) {
			workspace = RequestPriority.UNKNOWN_WORKSPACE;
		}
		else if (workspace < 0) {
			// The field is unsigned; such a number must not precede the highest priority.
			workspace = Integer.MAX_VALUE;
		}
		return new RequestPriority(workspace, message.getPriority());
	}

	private static Optional<WorkspaceName> workspace(String name) {
		return name.isEmpty() ? Optional.empty() : Optional.of(new WorkspaceName(name));
	}

	static MeshFrame toFrame(CallResult result, long stream, MemberLoadReport load, CallOrigin origin) {
		MeshReply.Builder reply = MeshReply.newBuilder().setStream(stream).setOrigin(toMessage(origin));
		if (result instanceof CallResult.Answered answered) {
			reply.setResult(MeshResult.ANSWERED)
				.setStatus(answered.status())
				.setHeaders(answered.headers().toByteString())
				.setBody(UnsafeByteOperations.unsafeWrap(answered.body()));
		}
		else if (result instanceof CallResult.Refused refused) {
			reply.setResult(MeshResult.REFUSED).setReason(refused.reason().name()).setOffered(refused.offered());
		}
		else if (result instanceof CallResult.Failed failed) {
			reply.setResult(MeshResult.FAILED).setReason(failed.reason());
		}
		if (load != null) {
			reply.setLoad(toMessage(load));
		}
		return MeshFrame.newBuilder().setReply(reply).build();
	}

	/**
	 * Returns a frame that reports the load without the result of a call. Nodes that do
	 * not know such frames take the load from them as well.
	 * @param load load
	 * @return the frame
	 */
	static MeshFrame toFrame(MemberLoadReport load) {
		return MeshFrame.newBuilder()
			.setReply(MeshReply.newBuilder().setStream(NO_STREAM).setLoad(toMessage(load)))
			.build();
	}

	private static MeshLoad toMessage(MemberLoadReport load) {
		MeshLoad.Builder message = MeshLoad.newBuilder()
			.setLimit(load.limit())
			.setRunning(load.running())
			.setWaiting(load.waiting())
			.setRequestRate(load.requestRate())
			.setLeaving(load.leaving());
		load.rateLimit().ifPresent((limit) -> message.setRateLimit(limit.requestsPerSecond()));
		if (load.serviceTime() > 0) {
			message.setLearnedLimit(load.learnedLimit())
				.setSpeed(load.speed())
				.setServiceMilliseconds(load.serviceTime() / NANOSECONDS_PER_MILLISECOND)
				.setMeanUsed(load.meanUsed());
		}
		return message.build();
	}

	static MemberLoadReport toLoadReport(MeshLoad message) {
		return new MemberLoadReport(Math.max(1, message.getLimit()), message.getRunning(), message.getWaiting(),
				message.hasRateLimit() ? toRateLimit(message.getRateLimit()) : Optional.empty(),
				message.getRequestRate(), message.getLeaving(), Math.max(0, message.getLearnedLimit()),
				bounded(message.getSpeed()),
				(long) (bounded(message.getServiceMilliseconds()) * NANOSECONDS_PER_MILLISECOND),
				bounded(message.getMeanUsed()));
	}

	private static double bounded(double value) {
		return (value >= 0) ? Math.min(MAXIMUM_VALUE, value) : 0;
	}

	private static Optional<RateLimit> toRateLimit(double requestsPerSecond) {
		return (requestsPerSecond >= 0) ? Optional.of(new RateLimit(requestsPerSecond)) : Optional.empty();
	}

	private static MeshOrigin toMessage(CallOrigin origin) {
		return switch (origin) {
			case OUTSIDE -> MeshOrigin.OUTSIDE;
			case NESTED -> MeshOrigin.NESTED;
			case UNKNOWN -> MeshOrigin.MESH_ORIGIN_UNKNOWN;
		};
	}

	static CallOrigin toOrigin(MeshOrigin origin) {
		return switch (origin) {
			case OUTSIDE -> CallOrigin.OUTSIDE;
			case NESTED -> CallOrigin.NESTED;
			default -> CallOrigin.UNKNOWN;
		};
	}

	static CallResult toResult(MeshReply reply) {
		return switch (reply.getResult()) {
			case ANSWERED -> toAnswer(reply);
			case REFUSED -> new CallResult.Refused(refusal(reply.getReason()), reply.getOffered());
			default -> new CallResult.Failed(reply.getReason());
		};
	}

	private static CallResult toAnswer(MeshReply reply) {
		if (!FinalStatus.isValid(reply.getStatus())) {
			return new CallResult.Failed("answer-invalid-status status=" + reply.getStatus());
		}
		try {
			return new CallResult.Answered(reply.getStatus(), HeaderBlock.of(reply.getHeaders()),
					reply.getBody().toByteArray());
		}
		catch (IllegalArgumentException ex) {
			return new CallResult.Failed("answer-invalid-head reason=" + ex.getMessage());
		}
	}

	private static GateRefusal refusal(String name) {
		for (GateRefusal refusal : GateRefusal.values()) {
			if (refusal.name().equals(name)) {
				return refusal;
			}
		}
		// An unknown reason comes from a newer node; the call has not run in any case.
		return GateRefusal.UNREACHABLE;
	}

}
