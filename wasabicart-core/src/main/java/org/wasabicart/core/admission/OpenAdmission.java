package org.wasabicart.core.admission;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.RequestContext;

/**
 * Admits every call at once, as a baseline for comparison.
 */
final class OpenAdmission implements AdmissionController {

	private final Ticker ticker;

	private final AtomicLong nextPermit = new AtomicLong();

	private final Set<Long> running = ConcurrentHashMap.newKeySet();

	OpenAdmission(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker");
	}

	@Override
	public void offer(RequestContext context, long bytes, AdmissionListener listener) {
		long number = this.nextPermit.getAndIncrement();
		this.running.add(number);
		listener
			.admitted(new AdmissionPermit(number, this.ticker.nanoseconds(), Integer.MAX_VALUE, this.running.size()));
	}

	@Override
	public boolean withdraw(AdmissionListener listener) {
		return false;
	}

	@Override
	public void finished(AdmissionPermit permit, CallSample sample) {
		this.running.remove(permit.number());
	}

	@Override
	public void tick() {
		// Nothing is queued and no threshold is kept.
	}

	@Override
	public int threshold() {
		return 0;
	}

	@Override
	public AdmissionStatus status() {
		return new AdmissionStatus(Integer.MAX_VALUE, Integer.MAX_VALUE, this.running.size(), 0, 0, 0);
	}

}
