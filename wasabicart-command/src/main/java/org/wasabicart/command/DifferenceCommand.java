package org.wasabicart.command;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

import org.wasabicart.configuration.ConfigurationDocument;

/**
 * Shows the differences between the stored configuration and a file, or between two
 * files.
 */
final class DifferenceCommand implements Command {

	@Override
	public String name() {
		return "difference";
	}

	@Override
	public String summary() {
		return "show the differences between the stored configuration and FILE, or between two files";
	}

	@Override
	public void declare(OptionParser parser) {
		StoreAccess.declareFlag(parser);
		parser.nonOptions("one file to compare with the stored configuration, or an old and a new file")
			.describedAs("FILE");
	}

	@Override
	public ExitCode run(OptionSet options, CommandOutput output) throws CommandException, InterruptedException {
		List<?> files = options.nonOptionArguments();
		if (files.isEmpty() || files.size() > 2) {
			throw new CommandException(ExitCode.USAGE, "Specify one or two configuration files");
		}
		ConfigurationDocument proposed = new ConfigurationFiles().readOne(String.valueOf(files.get(files.size() - 1)));
		ConfigurationDocument before = (files.size() == 2)
				? new ConfigurationFiles().readOne(String.valueOf(files.get(0))) : stored(options);
		// The sections of a single file replace the stored ones, as publishing it would.
		ConfigurationDocument after = (files.size() == 2) ? proposed : before.merge(proposed);
		print(JsonDifference.between(before, after), output);
		return ExitCode.SUCCESS;
	}

	private ConfigurationDocument stored(OptionSet options) throws CommandException, InterruptedException {
		try (StoreAccess store = StoreAccess.open(options)) {
			return store.currentConfiguration().document();
		}
	}

	private void print(List<JsonDifference.Entry> entries, CommandOutput output) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		ArrayNode list = root.putArray("differences");
		for (JsonDifference.Entry entry : entries) {
			output.line(entry.path() + ": " + text(entry.before()) + " -> " + text(entry.after()));
			ObjectNode node = list.addObject().put("path", entry.path());
			node.set("before", entry.before());
			node.set("after", entry.after());
		}
		output.line(entries.size() + ((entries.size() == 1) ? " difference" : " differences"));
		output.document(root);
	}

	private String text(JsonNode value) {
		return (value != null) ? value.toString() : "(absent)";
	}

}
