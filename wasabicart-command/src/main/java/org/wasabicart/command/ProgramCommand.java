package org.wasabicart.command;

/**
 * Starts one of the project's programs with the remaining arguments, which the program
 * parses itself.
 *
 * @param name name on the command line
 * @param summary one line for the help text
 * @param program main method
 */
record ProgramCommand(String name, String summary, Program program) {

	/**
	 * Main method of a program.
	 */
	@FunctionalInterface
	interface Program {

		/**
		 * Runs the program.
		 * @param arguments its arguments
		 * @throws Exception if the program cannot start
		 */
		void main(String[] arguments) throws Exception;

	}

}
