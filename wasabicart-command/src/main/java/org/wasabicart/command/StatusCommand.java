package org.wasabicart.command;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Shows the status of the deployment as seen by one node.
 */
final class StatusCommand implements Command {

	private static final String ENVIRONMENT_VARIABLE = "WASABICART_NODE";

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String summary() {
		return "show members, revisions, limits and thresholds as seen by a node";
	}

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("node", "HTTP URL of any node; also " + ENVIRONMENT_VARIABLE)
			.withRequiredArg()
			.describedAs("URL");
	}

	@Override
	public ExitCode run(OptionSet options, CommandOutput output) throws CommandException, InterruptedException {
		String node = options.has("node") ? (String) options.valueOf("node") : System.getenv(ENVIRONMENT_VARIABLE);
		if (node == null) {
			throw new CommandException(ExitCode.USAGE, "Specify a node with --node URL or " + ENVIRONMENT_VARIABLE);
		}
		JsonNode status;
		try {
			status = new NodeStatusClient().status(node);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new CommandException(ExitCode.UNKNOWN,
					"Cannot read the status of the node at " + node + ": " + ex.getMessage());
		}
		output.document(status);
		StatusTables.print(status, output);
		return ExitCode.SUCCESS;
	}

}
