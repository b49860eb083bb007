package org.wasabicart.node.baseline;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.admission.AdmissionController;
import org.wasabicart.core.admission.AdmissionListener;
import org.wasabicart.core.admission.AdmissionPermit;
import org.wasabicart.core.admission.AdmissionStatus;
import org.wasabicart.core.admission.CallSample;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RefusalReason;
import org.wasabicart.core.model.RequestContext;

/**
 * Baseline for comparison: a fixed concurrency limit with a first-in-first-out queue of
 * bounded length, regardless of importance and deadline.
 */
public final class FixedLimitAdmission implements AdmissionController {

	private static final Duration RETRY_AFTER = Duration.ofMillis(100);

	private final Map<AdmissionListener, Long> queue = new LinkedHashMap<>();

	private final Ticker ticker;

	private final int limit;

	private final int queueLimit;

	private long queuedBytes;

	private long lastNumber;

	private int running;

	/**
	 * Creates a controller.
	 * @param ticker clock
	 * @param limit most calls at once
	 * @param queueLimit most calls in the queue
	 */
	public FixedLimitAdmission(Ticker ticker, int limit, int queueLimit) {
		this.ticker = ticker;
		this.limit = limit;
		this.queueLimit = queueLimit;
	}

	/**
	 * Creates the baseline without a limit.
	 * @param ticker clock
	 * @return the controller
	 */
	public static FixedLimitAdmission unlimited(Ticker ticker) {
		return new FixedLimitAdmission(ticker, Integer.MAX_VALUE, 0);
	}

	@Override
	public void offer(RequestContext context, long bytes, AdmissionListener listener) {
		AdmissionPermit permit = null;
		synchronized (this) {
			if (this.running < this.limit) {
				permit = admit();
			}
			else if (this.queue.size() < this.queueLimit) {
				this.queue.put(listener, bytes);
				this.queuedBytes += bytes;
				return;
			}
		}
		if (permit != null) {
			listener.admitted(permit);
		}
		else {
			listener.refused(new Outcome.Refused(RefusalReason.QUEUE_FULL, RETRY_AFTER));
		}
	}

	private AdmissionPermit admit() {
		this.running++;
		this.lastNumber++;
		return new AdmissionPermit(this.lastNumber, this.ticker.nanoseconds(), this.limit, this.running);
	}

	@Override
	public synchronized boolean withdraw(AdmissionListener listener) {
		Long bytes = this.queue.remove(listener);
		if (bytes == null) {
			return false;
		}
		this.queuedBytes -= bytes;
		return true;
	}

	@Override
	public void finished(AdmissionPermit permit, CallSample sample) {
		AdmissionListener next;
		AdmissionPermit nextPermit;
		synchronized (this) {
			this.running--;
			if (this.queue.isEmpty()) {
				return;
			}
			next = this.queue.keySet().iterator().next();
			this.queuedBytes -= this.queue.remove(next);
			nextPermit = admit();
		}
		next.admitted(nextPermit);
	}

	@Override
	public void tick() {
	}

	@Override
	public int threshold() {
		return 0;
	}

	@Override
	public synchronized AdmissionStatus status() {
		return new AdmissionStatus(this.limit, this.limit, this.running, this.queue.size(), this.queuedBytes, 0);
	}

}
