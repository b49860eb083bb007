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
 * Measures one threshold update with the count of one call, and one check at the entry
 * node.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class ThresholdBenchmark {

	private static final long UPDATE_INTERVAL = 50_000_000;

	private static final long TARGET = 25_000_000;

	private static final IntUnaryOperator QUEUED = (priority) -> 10;

	@Param({ "10", "100", "1000" })
	private int kinds;

	private RequestContext[] contexts;

	private ThresholdControl threshold;

	private EarlyRefusal earlyRefusal;

	private long now;

	private int next;

	/**
	 * Creates the decisions with demand of all kinds.
	 */
	@Setup
	public void createThreshold() {
		this.contexts = Requests.contexts(this.kinds, 1);
		this.threshold = AdmissionControllers.demandThreshold(() -> this.now);
		this.earlyRefusal = EarlyRefusals.learning((kind) -> Optional.empty(), () -> this.now, new SplittableRandom(1));
		for (RequestContext context : this.contexts) {
			this.threshold.offered(context.priority(), this.now);
			this.earlyRefusal.learn(context.kind(), new ServiceName("service"), 20_000);
		}
	}

	/**
	 * Counts a call and updates the threshold, half of the time with a long queue.
	 * @return the threshold
	 */
	@Benchmark
	public int update() {
		this.now += UPDATE_INTERVAL;
		this.threshold.offered(context().priority(), this.now);
		long waiting = (this.next & 1) * 2 * TARGET;
		return this.threshold.update(new ThresholdInput(this.now, 10, waiting, TARGET, QUEUED));
	}

	/**
	 * Checks a call at the entry node.
	 * @return whether it is refused
	 */
	@Benchmark
	public boolean earlyRefusal() {
		return this.earlyRefusal.check(context()).isPresent();
	}

	private RequestContext context() {
		return this.contexts[this.next++ % this.contexts.length];
	}

}
