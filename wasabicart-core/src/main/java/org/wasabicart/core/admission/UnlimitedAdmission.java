package org.wasabicart.core.admission;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.RequestContext;

/**
 * Baseline controller that admits every call at once.
 */
final class UnlimitedAdmission implements AdmissionController {

	private final Ticker ticker;

	private final AtomicLong nextPermit = new AtomicLong();

	private final Set<Long> runningPermits = ConcurrentHashMap.newKeySet();

	UnlimitedAdmission(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker");
	}

	@Override
	public void offer(RequestContext context, long bytes, AdmissionListener listener) {
		long number = this.nextPermit.getAndIncrement();
		this.runningPermits.add(number);
		listener.admitted(
				new AdmissionPermit(number, this.ticker.nanoseconds(), Integer.MAX_VALUE, this.runningPermits.size()));
	}

	@Override
	public boolean withdraw(AdmissionListener listener) {
		return false;
	}

	@Override
	public void finished(AdmissionPermit permit, CallSample sample) {
		this.runningPermits.remove(permit.number());
	}

	@Override
	public void tick() {
		// There are no queued calls and no threshold.
	}

	@Override
	public int threshold() {
		return 0;
	}

	@Override
	public AdmissionStatus status() {
		return new AdmissionStatus(Integer.MAX_VALUE, Integer.MAX_VALUE, this.runningPermits.size(), 0, 0, 0);
	}

}
