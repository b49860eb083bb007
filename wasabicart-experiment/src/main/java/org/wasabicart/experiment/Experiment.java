package org.wasabicart.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;

/**
 * Experiment that the command line offers. It starts the processes that it measures, and
 * all of them have ended when it returns.
 */
public interface Experiment {

	/**
	 * Returns the name on the command line.
	 * @return for example {@code retry-storm}
	 */
	String name();

	/**
	 * Returns a description of what is measured, as one line of the help text.
	 * @return the description
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
	 * @throws Exception if the experiment could not run; figures that miss a target do
	 * not count as a failure
	 */
	JsonNode run(ExperimentArguments arguments) throws Exception;

}
