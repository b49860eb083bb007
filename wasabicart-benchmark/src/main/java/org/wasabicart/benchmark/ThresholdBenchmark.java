package org.wasabicart.benchmark;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

import org.wasabicart.core.admission.AdmissionControllers;
import org.wasabicart.core.admission.ThresholdControl;
import org.wasabicart.core.admission.ThresholdInput;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.routing.EarlyRefusal;
import org.wasabicart.core.routing.EarlyRefusals;

/**
 * Measures one threshold update with one offered call, and one early refusal check at the
 * entry node.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class ThresholdBenchmark {

	private static final long UPDATE_INTERVAL_NANOSECONDS = 50_000_000;

	private static final long TARGET_QUEUE_NANOSECONDS = 25_000_000;

	private static final IntUnaryOperator QUEUED_AT_OR_ABOVE = (priority) -> 10;

	@Param({ "10", "100", "1000" })
	private int kinds;

	private RequestContext[] contexts;

	private ThresholdControl thresholdControl;

	private EarlyRefusal earlyRefusal;

	private long nowNanoseconds;

	private int nextContext;

	/**
	 * Creates the threshold control with one offered call of each context, and the early
	 * refusal with a threshold learned for each kind.
	 */
	@Setup
	public void createControls() {
		this.contexts = Requests.contexts(this.kinds, 1);
		this.thresholdControl = AdmissionControllers.demandThreshold(() -> this.nowNanoseconds);
		this.earlyRefusal = EarlyRefusals.learning((kind) -> Optional.empty(), () -> this.nowNanoseconds,
				new SplittableRandom(1));
		for (RequestContext context : this.contexts) {
			this.thresholdControl.offered(context.priority(), this.nowNanoseconds);
			this.earlyRefusal.recordThreshold(context.kind(), new ServiceName("service"), 20_000);
		}
	}

	/**
	 * Counts an offered call and updates the threshold. The queue time alternates between
	 * zero and twice the target.
	 * @return the threshold
	 */
	@Benchmark
	public int update() {
		this.nowNanoseconds += UPDATE_INTERVAL_NANOSECONDS;
		this.thresholdControl.offered(context().priority(), this.nowNanoseconds);
		long queueNanoseconds = (this.nextContext & 1) * 2 * TARGET_QUEUE_NANOSECONDS;
		return this.thresholdControl.update(new ThresholdInput(this.nowNanoseconds, 10, queueNanoseconds,
				TARGET_QUEUE_NANOSECONDS, QUEUED_AT_OR_ABOVE));
	}

	/**
	 * Checks a call for early refusal at the entry node.
	 * @return whether it is refused
	 */
	@Benchmark
	public boolean earlyRefusal() {
		return this.earlyRefusal.check(context()).isPresent();
	}

	private RequestContext context() {
		return this.contexts[this.nextContext++ % this.contexts.length];
	}

}
