package org.wasabicart.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import joptsimple.OptionSet;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.configuration.ConfigurationException;
import org.wasabicart.configuration.ConfigurationFormat;
import org.wasabicart.configuration.Finding;

/**
 * Reads the configuration files named on the command line and merges their sections.
 * {@code -} stands for standard input.
 */
final class ConfigurationFiles {

	private final ConfigurationFormat format = new ConfigurationFormat();

	private final List<Finding> findings = new ArrayList<>();

	/**
	 * Reads and merges all files. Problems in their content are added to the findings.
	 * @param options parsed command line with the files
	 * @return the merged sections of the files that could be parsed
	 * @throws CommandException if no file is named or a file cannot be read
	 */
	ConfigurationDocument read(OptionSet options) throws CommandException {
		if (options.nonOptionArguments().isEmpty()) {
			throw new CommandException(ExitCode.USAGE,
					"Specify at least one configuration file, or - for standard input");
		}
		ConfigurationDocument merged = ConfigurationDocument.empty();
		for (Object argument : options.nonOptionArguments()) {
			merged = merge(merged, String.valueOf(argument));
		}
		if (this.findings.isEmpty() && options.nonOptionArguments().size() > 1) {
			this.findings.addAll(this.format.check("all files", merged));
		}
		return merged;
	}

	List<Finding> findings() {
		return this.findings;
	}

	/**
	 * Reads one file.
	 * @param file path of the file, or {@code -} for standard input
	 * @return the configuration
	 * @throws CommandException if the file cannot be read, or with the first finding if
	 * it has any
	 */
	ConfigurationDocument readOne(String file) throws CommandException {
		ConfigurationDocument document = merge(ConfigurationDocument.empty(), file);
		if (!this.findings.isEmpty()) {
			throw new CommandException(ExitCode.REFUSED, this.findings.get(0).toString());
		}
		return document;
	}

	private ConfigurationDocument merge(ConfigurationDocument merged, String file) throws CommandException {
		try {
			ConfigurationDocument document = this.format.parse(file, readBytes(file));
			if (document.product().isPresent() && merged.product().isPresent()) {
				this.findings.add(new Finding(file + ": $.product", "section is also in another file"));
			}
			if (document.operations().isPresent() && merged.operations().isPresent()) {
				this.findings.add(new Finding(file + ": $.operations", "section is also in another file"));
			}
			return merged.merge(document);
		}
		catch (ConfigurationException ex) {
			this.findings.addAll(ex.findings());
			return merged;
		}
	}

	private byte[] readBytes(String file) throws CommandException {
		try {
			return "-".equals(file) ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "Cannot read " + file + ": " + ex);
		}
	}

}
