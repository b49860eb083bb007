package org.wasabicart.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Subcommand of the command line. The caller handles {@code --help} and {@code --output}.
 */
interface Command {

	/**
	 * Returns the name of the subcommand.
	 * @return the name, for example {@code publish}
	 */
	String name();

	/**
	 * Returns the summary shown in the help text.
	 * @return the summary, one line
	 */
	String summary();

	/**
	 * Declares the command's flags and arguments.
	 * @param parser parser that receives them
	 */
	void declare(OptionParser parser);

	/**
	 * Runs the command.
	 * @param options parsed command line
	 * @param output receives the result
	 * @return the exit code
	 * @throws CommandException if the command ends early with a message
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	ExitCode run(OptionSet options, CommandOutput output) throws CommandException, InterruptedException;

}
