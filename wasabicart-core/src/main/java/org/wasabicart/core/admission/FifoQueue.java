package org.wasabicart.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;

/**
 * First-in first-out queue of the baseline with a fixed limit.
 */
final class FifoQueue implements CallQueue {

	private final Deque<QueuedCall> calls = new ArrayDeque<>();

	private long bytes;

	@Override
	public void add(QueuedCall call, long capacityBytes, long now, Consumer<QueuedCall> dropped) {
		if (this.bytes + call.bytes() > capacityBytes) {
			dropped.accept(call);
			return;
		}
		this.calls.addLast(call);
		this.bytes += call.bytes();
	}

	@Override
	public QueuedCall poll(long now, Consumer<QueuedCall> dropped) {
		expire(now, dropped);
		QueuedCall call = this.calls.pollFirst();
		if (call != null) {
			this.bytes -= call.bytes();
		}
		return call;
	}

	@Override
	public void expire(long now, Consumer<QueuedCall> dropped) {
		while (!this.calls.isEmpty() && this.calls.peekFirst().expired(now)) {
			QueuedCall call = this.calls.pollFirst();
			this.bytes -= call.bytes();
			dropped.accept(call);
		}
	}

	@Override
	public boolean remove(AdmissionListener listener) {
		Iterator<QueuedCall> iterator = this.calls.iterator();
		while (iterator.hasNext()) {
			QueuedCall call = iterator.next();
			if (call.listener() == listener) {
				iterator.remove();
				this.bytes -= call.bytes();
				return true;
			}
		}
		return false;
	}

	@Override
	public int sizeAtOrAbove(int priority) {
		return (int) this.calls.stream().filter((call) -> call.priority() >= priority).count();
	}

	@Override
	public int size() {
		return this.calls.size();
	}

	@Override
	public long bytes() {
		return this.bytes;
	}

}
