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
 * Runs the benchmarks with few short iterations by default and reports the allocation per
 * operation. Accepts the arguments of JMH, which override the defaults.
 */
public final class BenchmarkMain {

	private static final TimeValue ITERATION_TIME = TimeValue.milliseconds(200);

	private static final int WARMUP_ITERATIONS = 3;

	private static final int MEASUREMENT_ITERATIONS = 3;

	private BenchmarkMain() {
	}

	/**
	 * Runs the benchmarks.
	 * @param arguments command line of JMH
	 * @throws CommandLineOptionException if an argument is invalid
	 * @throws RunnerException if a benchmark fails
	 */
	public static void main(String[] arguments) throws CommandLineOptionException, RunnerException {
		Options commandLine = new CommandLineOptions(arguments);
		Options options = new OptionsBuilder().parent(commandLine)
			.forks(commandLine.getForkCount().orElse(1))
			.warmupIterations(commandLine.getWarmupIterations().orElse(WARMUP_ITERATIONS))
			.warmupTime(commandLine.getWarmupTime().orElse(ITERATION_TIME))
			.measurementIterations(commandLine.getMeasurementIterations().orElse(MEASUREMENT_ITERATIONS))
			.measurementTime(commandLine.getMeasurementTime().orElse(ITERATION_TIME))
			.addProfiler(GCProfiler.class)
			.build();
		new Runner(options).run();
	}

}
