package org.wasabicart.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * One subcommand. {@code --help} and {@code --output} are handled by the caller.
 */
interface Command {

	/**
	 * Returns the name on the command line.
	 * @return for example {@code publish}
	 */
	String name();

	/**
	 * Returns one line for the help text.
	 * @return what the command does
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
