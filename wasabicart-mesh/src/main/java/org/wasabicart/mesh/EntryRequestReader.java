package org.wasabicart.mesh;

import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.MeshRoute;

/**
 * Reads callers' requests into calls.
 */
final class EntryRequestReader {

	private static final Logger logger = Logger.getLogger(EntryRequestReader.class);

	/** Time that a caller waits if it does not say. */
	private static final long DEFAULT_DEADLINE = TimeUnit.SECONDS.toNanos(5);

	/** Longest time that a caller may ask for. */
	private static final long MAXIMUM_DEADLINE = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Part of the target latency that a request may wait for a slot: a longer wait costs
	 * more than to be told at once and come back.
	 */
	private static final double PATIENCE_SHARE = 0.125;

	/** Part of the time left that stands in for a target latency. */
	private static final double PATIENCE_SHARE_OF_DEADLINE = 0.05;

	private static final byte[] NO_BODY = {};

	private final CallHeaders names;

	private final String callerService;

	private final Set<String> droppedHeaders;

	EntryRequestReader(CallHeaders names, String callerService) {
		this.names = Objects.requireNonNull(names, "names");
		this.callerService = Objects.requireNonNull(callerService, "callerService");
		this.droppedHeaders = Set.of(names.deadline().toLowerCase(Locale.ROOT),
				names.expectedInstance().toLowerCase(Locale.ROOT), names.callerService().toLowerCase(Locale.ROOT));
	}

	static String path(String target) {
		int query = target.indexOf('?');
		return (query >= 0) ? target.substring(0, query) : target;
	}

	String requestId(FullHttpRequest request) {
		return request.headers().get(this.names.requestId(), "");
	}

	/**
	 * Reads a call that is not placed yet.
	 * @param request request
	 * @param route route of the request
	 * @param start arrival of the request in nanoseconds
	 * @return the call, without an expected incarnation
	 */
	Call call(FullHttpRequest request, MeshRoute route, long start) {
		long callerDeadline = deadline(request.headers(), start);
		long deadline = route.timeout()
			.map((timeout) -> Math.min(callerDeadline, start + timeout.toNanos()))
			.orElse(callerDeadline);
		long patience = route.targetLatency()
			.map((target) -> (long) (target.toNanos() * PATIENCE_SHARE))
			.orElse((long) ((callerDeadline - start) * PATIENCE_SHARE_OF_DEADLINE));
		byte[] body = request.content().isReadable() ? ByteBufUtil.getBytes(request.content()) : NO_BODY;
		return new Call(requestId(request), request.method().name(), request.uri(),
				HeaderBlock.endToEnd(request.headers(), this.droppedHeaders), body, deadline, "", this.callerService,
				route.idempotent(), route.priority(), Math.min(deadline, start + patience), route.name());
	}

	private long deadline(HttpHeaders headers, long now) {
		String value = headers.get(this.names.deadline());
		if (value == null) {
			return now + DEFAULT_DEADLINE;
		}
		try {
			double milliseconds = Double.parseDouble(value);
			return now + (long) Math.max(0, Math.min(MAXIMUM_DEADLINE, milliseconds * 1e6));
		}
		catch (NumberFormatException ex) {
			logger.debugf("event=deadline-unreadable value=\"%s\"", value);
			return now + DEFAULT_DEADLINE;
		}
	}

}
