package org.wasabicart.benchmark;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

import org.wasabicart.core.admission.AdmissionController;
import org.wasabicart.core.admission.AdmissionControllers;
import org.wasabicart.core.admission.AdmissionListener;
import org.wasabicart.core.admission.AdmissionPermit;
import org.wasabicart.core.admission.CallSample;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.ServicePolicy;

/**
 * Measures the admission of one call from its offer to its end, without and with
 * queueing.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class AdmissionBenchmark {

	private static final CallSample RESPONDED = new CallSample(5_000_000, CallSample.Result.RESPONDED);

	private static final CallSample IGNORED = new CallSample(5_000_000, CallSample.Result.IGNORED);

	private static final int SLOTS = 100;

	@Param({ "10", "100", "1000" })
	private int kinds;

	@Param({ "1", "100", "1000" })
	private int tenants;

	private RequestContext[] contexts;

	private AdmissionController controller;

	private long nowNanoseconds;

	private int nextContext;

	private final Deque<AdmissionPermit> permits = new ArrayDeque<>();

	/**
	 * Creates the contexts and a controller without calls.
	 */
	@Setup
	public void createController() {
		ServicePolicy policy = new ServicePolicy(new ServiceName("service"), SLOTS, SLOTS, 1000, 0.1,
				Duration.ofMillis(100), 1_000_000, Duration.ofSeconds(1), Set.of());
		this.contexts = Requests.contexts(this.kinds, this.tenants);
		this.controller = AdmissionControllers.adaptive(() -> policy, (tenant) -> 1.0, () -> this.nowNanoseconds,
				new SplittableRandom(1));
	}

	/**
	 * Offers a call that is admitted to a free slot, and finishes it.
	 * @return the permit
	 */
	@Benchmark
	public AdmissionPermit freeSlot() {
		this.nowNanoseconds += 10_000;
		AdmissionPermit permit = offer().permit;
		this.controller.finished(permit, RESPONDED);
		return permit;
	}

	/**
	 * Offers a call that is queued until a running call finishes.
	 * @return the permit
	 */
	@Benchmark
	public AdmissionPermit queued() {
		this.nowNanoseconds += 10_000;
		while (this.permits.size() < SLOTS) {
			this.permits.add(offer().permit);
		}
		OfferedCall queuedCall = offer();
		// An ignored sample does not change the concurrency limit, so each invocation
		// queues exactly one call.
		this.controller.finished(this.permits.poll(), IGNORED);
		this.permits.add(queuedCall.permit);
		return queuedCall.permit;
	}

	private OfferedCall offer() {
		OfferedCall call = new OfferedCall();
		this.controller.offer(context(), 100, call);
		return call;
	}

	private RequestContext context() {
		return this.contexts[this.nextContext++ % this.contexts.length];
	}

	private static final class OfferedCall implements AdmissionListener {

		private AdmissionPermit permit;

		@Override
		public void admitted(AdmissionPermit granted) {
			this.permit = granted;
		}

		@Override
		public void refused(Outcome.Refused refusal) {
			this.permit = null;
		}

	}

}
