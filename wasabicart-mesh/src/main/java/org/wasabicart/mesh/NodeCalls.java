package org.wasabicart.mesh;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.RequestPriority;
import org.wasabicart.wire.generated.mesh.MeshMemberEntry;

/**
 * Calls that a node answers itself, without its backend server. Such a call names no
 * incarnation.
 */
final class NodeCalls {

	private static final Logger logger = Logger.getLogger(NodeCalls.class);

	private static final String CONFIGURATION_TARGET = "/configuration";

	private static final String MEMBER_TARGET = "/member";

	/** Time to wait for a result; a configuration may have 1 MB. */
	private static final long TIMEOUT = TimeUnit.SECONDS.toNanos(1);

	private final Supplier<byte[]> configuration;

	private final Consumer<MeshMember> memberListener;

	/**
	 * Creates the answers of one node.
	 * @param configuration provides the stored value of the configuration in force, or
	 * null if there is none
	 * @param memberListener receives what other nodes know about the local server
	 */
	NodeCalls(Supplier<byte[]> configuration, Consumer<MeshMember> memberListener) {
		this.configuration = configuration;
		this.memberListener = memberListener;
	}

	/**
	 * Returns a call for the stored value of the configuration in force.
	 * @param now current time in nanoseconds
	 * @return the call
	 */
	static Call readConfiguration(long now) {
		return call(HttpMethod.GET, CONFIGURATION_TARGET, new byte[0], now);
	}

	/**
	 * Returns a call that tells a node what this node knows about its server.
	 * @param member server
	 * @param now current time in nanoseconds
	 * @return the call
	 */
	static Call reportMember(MeshMember member, long now) {
		return call(HttpMethod.PUT, MEMBER_TARGET, MemberEntries.toEntry(member).toByteArray(), now);
	}

	private static Call call(HttpMethod method, String target, byte[] body, long now) {
		return new Call("", method.name(), target, HeaderBlock.EMPTY, body, now + TIMEOUT, "", "", true,
				RequestPriority.ofRoute(0), now + TIMEOUT, "", Optional.empty(), Optional.empty(),
				OptionalLong.empty());
	}

	static boolean isNodeCall(Call call) {
		return call.instance().isEmpty();
	}

	CallResult answer(Call call) {
		byte[] value = this.configuration.get();
		if (CONFIGURATION_TARGET.equals(call.target()) && value != null) {
			return answered(HttpResponseStatus.OK, value);
		}
		if (MEMBER_TARGET.equals(call.target())) {
			return answered(acceptMember(call.body()) ? HttpResponseStatus.OK : HttpResponseStatus.BAD_REQUEST,
					new byte[0]);
		}
		return answered(HttpResponseStatus.NOT_FOUND, new byte[0]);
	}

	private boolean acceptMember(byte[] entry) {
		try {
			this.memberListener.accept(MemberEntries.toMember(MeshMemberEntry.parseFrom(entry)));
			return true;
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			logger.warnf("event=member-report-unreadable reason=\"%s\"", LogReason.of(ex));
			return false;
		}
	}

	private static CallResult answered(HttpResponseStatus status, byte[] body) {
		return new CallResult.Answered(status.code(), HeaderBlock.EMPTY, body);
	}

}
