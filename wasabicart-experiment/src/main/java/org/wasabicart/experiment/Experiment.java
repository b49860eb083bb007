package org.wasabicart.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;

/**
 * One experiment of the command line. It starts what it measures, and everything that it
 * started has ended when it returns.
 */
public interface Experiment {

	/**
	 * Returns the name on the command line.
	 * @return for example {@code retry-storm}
	 */
	String name();

	/**
	 * Returns one line for the help text.
	 * @return what is measured
	 */
	String description();

	/**
	 * Adds the experiment's own flags. {@code --report}, {@code --seed},
	 * {@code --address-prefix} and {@code --help} exist already.
	 * @param parser parser that receives the flags
	 */
	default void declareFlags(OptionParser parser) {
	}

	/**
	 * Runs the experiment.
	 * @param arguments parsed flags and output
	 * @return the report with the field names of the design page
	 * @throws Exception if the experiment could not run; figures that miss a target are
	 * no failure
	 */
	JsonNode run(ExperimentArguments arguments) throws Exception;

}
