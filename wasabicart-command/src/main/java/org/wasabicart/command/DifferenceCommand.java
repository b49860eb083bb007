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
 * Shows what a file would change, against the store or another file.
 */
final class DifferenceCommand implements Command {

	@Override
	public String name() {
		return "difference";
	}

	@Override
	public String summary() {
		return "show what FILE changes against the store, or against another file with FILE FILE";
	}

	@Override
	public void declare(OptionParser parser) {
		StoreAccess.declare(parser);
		parser.nonOptions("one file to compare with the store, or the file before and the file after")
			.describedAs("FILE");
	}

	@Override
	public ExitCode run(OptionSet options, CommandOutput output) throws CommandException, InterruptedException {
		List<?> files = options.nonOptionArguments();
		if (files.isEmpty() || files.size() > 2) {
			throw new CommandException(ExitCode.USAGE, "Name one or two files");
		}
		ConfigurationDocument last = new ConfigurationFiles().readOne(String.valueOf(files.get(files.size() - 1)));
		ConfigurationDocument before = (files.size() == 2)
				? new ConfigurationFiles().readOne(String.valueOf(files.get(0))) : stored(options);
		ConfigurationDocument after = (files.size() == 2) ? last : before.merge(last);
		print(JsonDifference.between(before, after), output);
		return ExitCode.DONE;
	}

	private ConfigurationDocument stored(OptionSet options) throws CommandException, InterruptedException {
		try (StoreAccess store = StoreAccess.open(options)) {
			return store.current().document();
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
