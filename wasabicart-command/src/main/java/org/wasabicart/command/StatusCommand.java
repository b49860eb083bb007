package org.wasabicart.command;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Shows the status of the deployment as one node sees it.
 */
final class StatusCommand implements Command {

	private static final String VARIABLE = "WASABICART_NODE";

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String summary() {
		return "show members, revisions, limits and thresholds as a node sees them";
	}

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("node", "HTTP URL of any node; also " + VARIABLE).withRequiredArg().describedAs("URL");
	}

	@Override
	public ExitCode run(OptionSet options, CommandOutput output) throws CommandException, InterruptedException {
		String node = options.has("node") ? (String) options.valueOf("node") : System.getenv(VARIABLE);
		if (node == null) {
			throw new CommandException(ExitCode.USAGE, "Name a node with --node URL or " + VARIABLE);
		}
		JsonNode status;
		try {
			status = new NodeStatusClient().read(node);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new CommandException(ExitCode.UNKNOWN, "The node at " + node + " cannot be read: " + ex.getMessage());
		}
		output.document(status);
		StatusTables.print(status, output);
		return ExitCode.DONE;
	}

}
