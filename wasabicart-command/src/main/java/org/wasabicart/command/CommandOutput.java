package org.wasabicart.command;

import java.io.PrintStream;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Output of one command, as text or as a single JSON document.
 */
final class CommandOutput {

	private static final String BOLD = "\u001b[1m";

	private static final String RESET = "\u001b[0m";

	private final PrintStream output;

	private final PrintStream errors;

	private final boolean json;

	private final boolean terminal;

	CommandOutput(PrintStream output, PrintStream errors, boolean json, boolean terminal) {
		this.output = Objects.requireNonNull(output, "output");
		this.errors = Objects.requireNonNull(errors, "errors");
		this.json = json;
		this.terminal = terminal;
	}

	boolean isJson() {
		return this.json;
	}

	/**
	 * Prints a line unless the output is JSON.
	 * @param line text of the line
	 */
	void line(String line) {
		if (!this.json) {
			this.output.println(line);
		}
	}

	/**
	 * Prints a heading unless the output is JSON, in bold on a terminal.
	 * @param heading text of the heading
	 */
	void heading(String heading) {
		line(this.terminal ? BOLD + heading + RESET : heading);
	}

	/**
	 * Prints the JSON document if the output is JSON.
	 * @param document result of the command
	 */
	void document(JsonNode document) {
		if (this.json) {
			this.output.println(document.toPrettyString());
		}
	}

	/**
	 * Prints a message for the operator to the error stream.
	 * @param message text of the message
	 */
	void error(String message) {
		this.errors.println(message);
	}

}
