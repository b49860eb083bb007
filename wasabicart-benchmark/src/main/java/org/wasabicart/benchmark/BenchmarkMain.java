package org.wasabicart.benchmark;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.CommandLineOptionException;
import org.openjdk.jmh.runner.options.CommandLineOptions;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Runs the benchmarks with few and short iterations and reports the allocation of each
 * operation. Arguments are those of JMH and take precedence.
 */
public final class BenchmarkMain {

	private static final TimeValue ITERATION = TimeValue.milliseconds(200);

	private static final int WARMUP_ITERATIONS = 3;

	private static final int ITERATIONS = 3;

	private BenchmarkMain() {
	}

	/**
	 * Runs the benchmarks.
	 * @param arguments command line of JMH
	 * @throws CommandLineOptionException if an argument is wrong
	 * @throws RunnerException if a benchmark fails
	 */
	public static void main(String[] arguments) throws CommandLineOptionException, RunnerException {
		Options commandLine = new CommandLineOptions(arguments);
		Options options = new OptionsBuilder().parent(commandLine)
			.forks(commandLine.getForkCount().orElse(1))
			.warmupIterations(commandLine.getWarmupIterations().orElse(WARMUP_ITERATIONS))
			.warmupTime(commandLine.getWarmupTime().orElse(ITERATION))
			.measurementIterations(commandLine.getMeasurementIterations().orElse(ITERATIONS))
			.measurementTime(commandLine.getMeasurementTime().orElse(ITERATION))
			.addProfiler(GCProfiler.class)
			.build();
		new Runner(options).run();
	}

}
