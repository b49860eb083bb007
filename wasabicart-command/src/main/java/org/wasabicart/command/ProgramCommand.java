package org.wasabicart.command;

/**
 * Long-running program that the command line starts with the remaining arguments, which
 * the program parses itself.
 *
 * @param name name on the command line
 * @param summary one line for the help text
 * @param mainMethod main method of the program
 */
record ProgramCommand(String name, String summary, MainMethod mainMethod) {

	/**
	 * Main method of a program.
	 */
	@FunctionalInterface
	interface MainMethod {

		/**
		 * Runs the program.
		 * @param arguments its arguments
		 * @throws Exception if the program cannot start
		 */
		void run(String[] arguments) throws Exception;

	}

}
