package org.wasabicart.standin.http;

import java.io.IOException;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Parses the command-line flags of a stand-in that runs as a separate process.
 */
public final class ProgramFlags {

	private static final int EXIT_SUCCESS = 0;

	private static final int EXIT_USAGE_ERROR = 2;

	private ProgramFlags() {
	}

	/**
	 * Parses the flags. Prints the help text and exits with 0 for {@code --help}, or
	 * prints an error message and exits with 2 if a flag is invalid.
	 * @param parser parser with the program's own flags
	 * @param arguments command line
	 * @return the parsed flags
	 * @throws IOException if the help text cannot be printed
	 */
	public static OptionSet parse(OptionParser parser, String... arguments) throws IOException {
		parser.accepts("help", "Show this help").forHelp();
		try {
			OptionSet options = parser.parse(arguments);
			if (options.has("help")) {
				parser.printHelpOn(System.out);
				System.exit(EXIT_SUCCESS);
			}
			return options;
		}
		catch (OptionException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_USAGE_ERROR);
			throw ex;
		}
	}

}
