package org.wasabicart.mesh;

import java.util.HashSet;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.MeshRoute;
import org.wasabicart.core.overload.GateOrder;
import org.wasabicart.core.workspace.Workspace;
import org.wasabicart.mesh.workspace.AccessDecision;

/**
 * Converts callers' requests to calls.
 */
final class EntryRequestReader {

	private static final Logger logger = Logger.getLogger(EntryRequestReader.class);

	/** Time until the deadline of a request that carries no valid one. */
	private static final long DEFAULT_DEADLINE_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

	/** Longest time until the deadline that a caller may set. */
	private static final long MAXIMUM_DEADLINE_NANOSECONDS = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Share of the target latency that a request may wait for a slot: a longer wait takes
	 * more time than an immediate refusal and a retry.
	 */
	private static final double MAXIMUM_WAIT_SHARE = 0.125;

	/** Share of the time until the caller's deadline, used without a target latency. */
	private static final double MAXIMUM_WAIT_SHARE_OF_DEADLINE = 0.05;

	private static final byte[] NO_BODY = {};

	private final HeaderNames headerNames;

	private final String callerService;

	private final GateOrder gateOrder;

	private final HeaderBlock challenge;

	private final Set<String> droppedHeaders;

	/** Fields that are left out where the configuration has workspaces. */
	private final Set<String> droppedHeadersWithKeys;

	EntryRequestReader(HeaderNames headerNames, String callerService, GateOrder gateOrder) {
		this.gateOrder = Objects.requireNonNull(gateOrder, "gateOrder");
		this.headerNames = Objects.requireNonNull(headerNames, "headerNames");
		this.callerService = Objects.requireNonNull(callerService, "callerService");
		this.droppedHeaders = Set.of(headerNames.deadline().toLowerCase(Locale.ROOT),
				headerNames.expectedInstance().toLowerCase(Locale.ROOT),
				headerNames.callerService().toLowerCase(Locale.ROOT));
		this.challenge = HeaderBlock.of(HttpHeaderNames.WWW_AUTHENTICATE, headerNames.keyScheme());
		Set<String> withKeys = new HashSet<>(this.droppedHeaders);
		withKeys.add(headerNames.authorization().toLowerCase(Locale.ROOT));
		withKeys.add(headerNames.tenant().toLowerCase(Locale.ROOT));
		this.droppedHeadersWithKeys = Set.copyOf(withKeys);
	}

	static String path(String target) {
		int query = target.indexOf('?');
		return (query >= 0) ? target.substring(0, query) : target;
	}

	String requestId(FullHttpRequest request) {
		return request.headers().get(this.headerNames.requestId(), "");
	}

	/**
	 * Creates the call of a request, for which no server is chosen yet.
	 * @param request request
	 * @param route route of the request
	 * @param access decision on its key
	 * @param start arrival of the request in nanoseconds
	 * @return the call, without an expected incarnation
	 */
	Call toCall(FullHttpRequest request, MeshRoute route, AccessDecision access, long start) {
		long callerDeadline = deadline(request.headers(), start);
		long deadline = route.timeout()
			.map((timeout) -> Math.min(callerDeadline, start + timeout.toNanos()))
			.orElse(callerDeadline);
		long maximumWait = route.targetLatency()
			.map((target) -> (long) (target.toNanos() * MAXIMUM_WAIT_SHARE))
			.orElse((long) ((callerDeadline - start) * MAXIMUM_WAIT_SHARE_OF_DEADLINE));
		byte[] body = request.content().isReadable() ? ByteBufUtil.getBytes(request.content()) : NO_BODY;
		return new Call(requestId(request), request.method().name(), request.uri(), headers(request.headers(), access),
				body, deadline, "", this.callerService, route.idempotent(), access.priority(route.priority()),
				Math.min(deadline, start + maximumWait), route.name(), Optional.empty(),
				access.workspace().map(Workspace::name), targetEnd(route, start));
	}

	// Other orders do not use the target, and a deployment with them sends no field.
	private OptionalLong targetEnd(MeshRoute route, long start) {
		return (this.gateOrder == GateOrder.TARGET_LATENCY && route.targetLatency().isPresent())
				? OptionalLong.of(start + route.targetLatency().get().toNanos()) : OptionalLong.empty();
	}

	/**
	 * Returns the header field that asks a caller for a key.
	 * @return the header field
	 */
	HeaderBlock challenge() {
		return this.challenge;
	}

	private HeaderBlock headers(HttpHeaders headers, AccessDecision access) {
		HeaderBlock block = HeaderBlock.endToEnd(headers,
				access.keysRequired() ? this.droppedHeadersWithKeys : this.droppedHeaders);
		return access.workspace()
			.map((workspace) -> block.with(this.headerNames.tenant(), workspace.name().value()))
			.orElse(block);
	}

	/**
	 * Returns whether the time in which a request ends is stated by its caller or by its
	 * route, and is not only the default of this node.
	 * @param request request
	 * @param route route of the request
	 * @return whether the time is stated
	 */
	boolean statesTimeout(FullHttpRequest request, MeshRoute route) {
		return route.timeout().isPresent() || statedDeadline(request.headers()).isPresent();
	}

	private long deadline(HttpHeaders headers, long now) {
		return now + statedDeadline(headers).orElse(DEFAULT_DEADLINE_NANOSECONDS);
	}

	private OptionalLong statedDeadline(HttpHeaders headers) {
		String value = headers.get(this.headerNames.deadline());
		if (value == null) {
			return OptionalLong.empty();
		}
		try {
			double milliseconds = Double.parseDouble(value);
			return OptionalLong.of((long) Math.max(0, Math.min(MAXIMUM_DEADLINE_NANOSECONDS, milliseconds * 1e6)));
		}
		catch (NumberFormatException ex) {
			logger.debugf("event=deadline-unreadable value=\"%s\"", value);
			return OptionalLong.empty();
		}
	}

}
