package org.wasabicart.command;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

import org.wasabicart.configuration.ConfigurationFormat;
import org.wasabicart.store.PublishedConfiguration;

/**
 * Shows the configuration in the store.
 */
final class ShowCommand implements Command {

	@Override
	public String name() {
		return "show";
	}

	@Override
	public String summary() {
		return "show the stored configuration and its revision";
	}

	@Override
	public void declare(OptionParser parser) {
		StoreAccess.declareFlag(parser);
	}

	@Override
	public ExitCode run(OptionSet options, CommandOutput output) throws CommandException, InterruptedException {
		try (StoreAccess store = StoreAccess.open(options)) {
			PublishedConfiguration current = store.currentConfiguration();
			byte[] json = new ConfigurationFormat().write(current.document());
			output.heading("revision " + current.revision());
			output.line(new String(json, StandardCharsets.UTF_8));
			output.document(JsonNodeFactory.instance.objectNode()
				.put("revision", current.revision().value())
				.set("configuration", JsonDifference.toTree(current.document())));
			return ExitCode.SUCCESS;
		}
	}

}
