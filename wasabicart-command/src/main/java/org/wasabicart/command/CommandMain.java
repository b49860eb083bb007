package org.wasabicart.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentRegistry;
import org.wasabicart.experiment.ExperimentRunner;
import org.wasabicart.node.NodeMain;
import org.wasabicart.standin.backend.BackendMain;
import org.wasabicart.standin.relay.RelayMain;
import org.wasabicart.standin.store.StoreMain;

/**
 * Entry point of the {@code wasabicart} command line.
 */
public final class CommandMain {

	private static final String EXPERIMENT = "experiment";

	private static final String DEMO = "demo";

	private final List<Command> commands = List.of(new CheckCommand(), new ShowCommand(), new DifferenceCommand(),
			new PublishCommand(), new StatusCommand());

	private final List<ProgramCommand> programs = List.of(new ProgramCommand("node", "run a node", NodeMain::main),
			new ProgramCommand("store", "run the store stand-in", StoreMain::main),
			new ProgramCommand("backend", "run the backend server model", BackendMain::main),
			new ProgramCommand("relay", "run the network relay", RelayMain::main));

	private final PrintStream output;

	private final PrintStream errors;

	private final boolean terminal;

	CommandMain(PrintStream output, PrintStream errors, boolean terminal) {
		this.output = output;
		this.errors = errors;
		this.terminal = terminal;
	}

	/**
	 * Runs one command and exits with its code, or starts a long-running program.
	 * @param arguments command line
	 * @throws Exception if a long-running program cannot start
	 */
	public static void main(String[] arguments) throws Exception {
		CommandMain main = new CommandMain(System.out, System.err, System.console() != null);
		Optional<ProgramCommand> program = main.findProgram(arguments);
		if (program.isPresent()) {
			program.get().mainMethod().run(Arrays.copyOfRange(arguments, 1, arguments.length));
			return;
		}
		System.exit(main.run(arguments));
	}

	int run(String... arguments) throws InterruptedException {
		if (arguments.length == 0 || List.of("--help", "-h", "help").contains(arguments[0])) {
			printHelp();
			return ((arguments.length == 0) ? ExitCode.USAGE : ExitCode.SUCCESS).status();
		}
		String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
		if (DEMO.equals(arguments[0])) {
			// The demo is the experiment of the same name.
			return runExperiment(arguments);
		}
		if (EXPERIMENT.equals(arguments[0])) {
			return runExperiment(rest);
		}
		for (Command command : this.commands) {
			if (command.name().equals(arguments[0])) {
				return run(command, rest).status();
			}
		}
		this.errors.println("Unknown command: " + arguments[0] + "; see wasabicart --help");
		return ExitCode.USAGE.status();
	}

	private ExitCode run(Command command, String[] arguments) throws InterruptedException {
		OptionParser parser = new OptionParser();
		parser.accepts("help", "show this help").forHelp();
		parser.accepts("output", "text or json").withRequiredArg().defaultsTo("text");
		command.declare(parser);
		try {
			OptionSet options = parser.parse(arguments);
			if (options.has("help")) {
				this.output.println("wasabicart " + command.name() + ": " + command.summary());
				parser.printHelpOn(this.output);
				return ExitCode.SUCCESS;
			}
			return command.run(options, commandOutput(options));
		}
		catch (OptionException | IOException ex) {
			this.errors.println(ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (CommandException ex) {
			this.errors.println(ex.getMessage());
			return ex.exitCode();
		}
	}

	private CommandOutput commandOutput(OptionSet options) throws CommandException {
		String format = (String) options.valueOf("output");
		if (!List.of("text", "json").contains(format)) {
			throw new CommandException(ExitCode.USAGE, "--output: expected text or json, found " + format);
		}
		return new CommandOutput(this.output, this.errors, "json".equals(format), this.terminal);
	}

	private int runExperiment(String[] arguments) {
		ExperimentRegistry registry = ExperimentRegistry.standard();
		if (arguments.length == 0 || "--help".equals(arguments[0])) {
			TextTable table = new TextTable("EXPERIMENT", "MEASURES");
			registry.all().forEach((experiment) -> table.row(experiment.name(), experiment.description()));
			table.print(new CommandOutput(this.output, this.errors, false, this.terminal));
			return ((arguments.length == 0) ? ExitCode.USAGE : ExitCode.SUCCESS).status();
		}
		Optional<Experiment> experiment = registry.find(arguments[0]);
		if (experiment.isEmpty()) {
			this.errors.println("Unknown experiment: " + arguments[0] + "; see wasabicart experiment --help");
			return ExitCode.USAGE.status();
		}
		String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
		return new ExperimentRunner(this.output, this.errors).run(experiment.get(), rest);
	}

	private Optional<ProgramCommand> findProgram(String[] arguments) {
		return this.programs.stream()
			.filter((program) -> arguments.length > 0 && program.name().equals(arguments[0]))
			.findFirst();
	}

	private void printHelp() {
		CommandOutput help = new CommandOutput(this.output, this.errors, false, this.terminal);
		this.output.println("Usage: wasabicart COMMAND [flags] [arguments]; wasabicart COMMAND --help shows the flags");
		this.output.println();
		TextTable table = new TextTable("COMMAND", "PURPOSE");
		this.commands.forEach((command) -> table.row(command.name(), command.summary()));
		this.programs.forEach((program) -> table.row(program.name(), program.summary()));
		table.row(DEMO, "overload a small local deployment and print its goodput by kind");
		table.row(EXPERIMENT, "run a measurement; wasabicart experiment --help lists them");
		table.print(help);
		this.output.println();
		this.output.println("Exit codes: 0 done, 1 refused or findings, 2 usage, 3 outcome unknown");
	}

}
