package org.wasabicart.standin.http;

import java.io.IOException;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Flags of a stand-in that runs as a program.
 */
public final class ProgramFlags {

	private static final int DONE = 0;

	private static final int USAGE = 2;

	private ProgramFlags() {
	}

	/**
	 * Parses the flags. Prints the help text and exits with 0 for {@code --help}, or
	 * prints what is wrong and exits with 2.
	 * @param parser parser with the program's own flags
	 * @param arguments command line
	 * @return the flags
	 * @throws IOException if the help text cannot be printed
	 */
	public static OptionSet parse(OptionParser parser, String... arguments) throws IOException {
		parser.accepts("help", "Show this help").forHelp();
		try {
			OptionSet options = parser.parse(arguments);
			if (options.has("help")) {
				parser.printHelpOn(System.out);
				System.exit(DONE);
			}
			return options;
		}
		catch (OptionException ex) {
			System.err.println(ex.getMessage());
			System.exit(USAGE);
			throw ex;
		}
	}

}
