package org.wasabicart.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Parses the flags of an experiment, runs it and writes its report.
 */
public final class ExperimentRunner {

	/** Exit code of an experiment that ran, also if its figures miss their targets. */
	public static final int DONE = 0;

	/** Exit code of an experiment that could not run. */
	public static final int FAILED = 1;

	/** Exit code for invalid flags. */
	public static final int USAGE = 2;

	private static final String DEFAULT_SEED = "1";

	private static final String DEFAULT_ADDRESS_PREFIX = "127.50";

	private final PrintStream output;

	private final PrintStream errors;

	/**
	 * Creates a runner.
	 * @param output receives progress messages and, without {@code --report}, the report
	 * @param errors receives usage errors and failures
	 */
	public ExperimentRunner(PrintStream output, PrintStream errors) {
		this.output = output;
		this.errors = errors;
	}

	/**
	 * Runs an experiment.
	 * @param experiment experiment to run
	 * @param arguments its flags
	 * @return the exit code
	 */
	public int run(Experiment experiment, String... arguments) {
		OptionParser parser = parser(experiment);
		OptionSet options;
		try {
			options = parser.parse(arguments);
			if (options.has("help")) {
				this.output.println(experiment.name() + ": " + experiment.description());
				parser.printHelpOn(this.output);
				return DONE;
			}
		}
		catch (OptionException | IOException ex) {
			this.errors.println(ex.getMessage());
			return USAGE;
		}
		try {
			JsonNode report = experiment.run(new ExperimentArguments(options, this.output));
			write(report, options);
			return DONE;
		}
		catch (Exception ex) {
			this.errors.println("Experiment " + experiment.name() + " could not run: " + ex);
			return FAILED;
		}
	}

	private OptionParser parser(Experiment experiment) {
		OptionParser parser = new OptionParser();
		parser.accepts("report", "File that receives the report as JSON").withRequiredArg();
		parser.accepts("seed", "Seed of all random choices").withRequiredArg().defaultsTo(DEFAULT_SEED);
		parser.accepts("address-prefix", "First two octets of the loopback addresses")
			.withRequiredArg()
			.defaultsTo(DEFAULT_ADDRESS_PREFIX);
		parser.accepts("help", "Show this help").forHelp();
		experiment.declareFlags(parser);
		return parser;
	}

	private void write(JsonNode report, OptionSet options) throws IOException {
		String text = new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report);
		if (options.has("report")) {
			Files.writeString(Path.of((String) options.valueOf("report")), text + "\n");
		}
		else {
			this.output.println(text);
		}
	}

}
