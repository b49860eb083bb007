package org.wasabicart.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

import org.wasabicart.configuration.ConfigurationDocument;

/**
 * Checks configuration files and reports all findings together.
 */
final class CheckCommand implements Command {

	@Override
	public String name() {
		return "check";
	}

	@Override
	public String summary() {
		return "check configuration files and report all findings";
	}

	@Override
	public void declare(OptionParser parser) {
		parser.nonOptions("configuration files whose sections are merged, or - for standard input").describedAs("FILE");
	}

	@Override
	public ExitCode run(OptionSet options, CommandOutput output) throws CommandException {
		ConfigurationFiles files = new ConfigurationFiles();
		ConfigurationDocument document = files.read(options);
		if (!files.findings().isEmpty()) {
			FindingsReport.print(files.findings(), output);
			return ExitCode.REFUSED;
		}
		output.line("no findings" + (document.product().isEmpty() ? "; section product is not in these files" : "")
				+ (document.operations().isEmpty() ? "; section operations is not in these files" : ""));
		output.document(FindingsReport.toJson(files.findings()));
		return ExitCode.SUCCESS;
	}

}
