package org.wasabicart.wire;

import java.util.concurrent.TimeUnit;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.RequestId;
import org.wasabicart.core.model.RequestKind;
import org.wasabicart.core.model.TenantName;
import org.wasabicart.wire.generated.link.Call;

/**
 * Maps request contexts to the head of a call and back. The head carries the remaining
 * time instead of the deadline, because each node has its own monotonic clock.
 */
public final class ContextCodec {

	private static final long MAXIMUM_REMAINING_MICROSECONDS = TimeUnit.DAYS.toMicros(1);

	private ContextCodec() {
	}

	/**
	 * Writes a context into the head of a call.
	 * @param context context
	 * @param nowNanoseconds current time of the local ticker
	 * @param call head to fill
	 */
	public static void write(RequestContext context, long nowNanoseconds, Call.Builder call) {
		long remaining = Math.max(0, context.remainingNanoseconds(nowNanoseconds));
		call.setRootRequestId(context.root().value())
			.setKind(context.kind().value())
			.setTenant(context.tenant().value())
			.setImportance(context.importance())
			.setOrder(context.execution() == Execution.ORDER)
			.setRemainingMicroseconds(TimeUnit.NANOSECONDS.toMicros(remaining))
			.setRetryAllowance(context.retryAllowance())
			.setDepth(context.depth());
	}

	/**
	 * Reads a context from the head of a call.
	 * @param call head
	 * @param nowNanoseconds current time of the local ticker
	 * @return the context
	 * @throws WireFormatException if a field is out of range
	 */
	public static RequestContext read(Call call, long nowNanoseconds) throws WireFormatException {
		long remaining = call.getRemainingMicroseconds();
		if (remaining < 0 || remaining > MAXIMUM_REMAINING_MICROSECONDS) {
			throw new WireFormatException("Remaining time is out of range", null);
		}
		if (call.getImportance() < 0 || call.getImportance() > RequestKind.MAXIMUM_IMPORTANCE) {
			throw new WireFormatException("Importance is out of range", null);
		}
		try {
			return new RequestContext(new RequestId(call.getRootRequestId()), new KindName(call.getKind()),
					new TenantName(call.getTenant()), call.getImportance(),
					call.getOrder() ? Execution.ORDER : Execution.IDEMPOTENT,
					nowNanoseconds + TimeUnit.MICROSECONDS.toNanos(remaining), call.getRetryAllowance(),
					call.getDepth());
		}
		catch (IllegalArgumentException ex) {
			throw new WireFormatException("Context is not valid", ex);
		}
	}

}
