package org.wasabicart.experiment;

import java.util.Arrays;

/**
 * Runs one experiment without the command line.
 */
public final class ExperimentMain {

	private ExperimentMain() {
	}

	/**
	 * Runs the experiment that the first argument names.
	 * @param arguments name and flags
	 */
	public static void main(String[] arguments) {
		ExperimentRegistry registry = ExperimentRegistry.standard();
		if (arguments.length == 0 || registry.find(arguments[0]).isEmpty()) {
			System.err.println("Experiments:");
			registry.all().forEach((each) -> System.err.println("  " + each.name() + ": " + each.description()));
			System.exit(ExperimentRunner.USAGE);
		}
		Experiment experiment = registry.find(arguments[0]).orElseThrow();
		String[] flags = Arrays.copyOfRange(arguments, 1, arguments.length);
		System.exit(new ExperimentRunner(System.out, System.err).run(experiment, flags));
	}

}
