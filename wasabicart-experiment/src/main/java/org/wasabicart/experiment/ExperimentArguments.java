package org.wasabicart.experiment;

import java.io.PrintStream;
import java.util.Objects;

import joptsimple.OptionSet;

/**
 * Parsed flags of one run of an experiment, and the stream for its progress.
 */
public final class ExperimentArguments {

	private final OptionSet options;

	private final PrintStream output;

	ExperimentArguments(OptionSet options, PrintStream output) {
		this.options = Objects.requireNonNull(options, "options");
		this.output = Objects.requireNonNull(output, "output");
	}

	/**
	 * Returns the seed of all random choices.
	 * @return the seed
	 */
	public long seed() {
		return number("seed");
	}

	/**
	 * Returns the first two octets of the loopback addresses that the experiment uses.
	 * @return for example {@code 127.50}
	 */
	public String addressPrefix() {
		return text("address-prefix");
	}

	/**
	 * Returns whether a flag was given.
	 * @param flag name without dashes
	 * @return whether it was given
	 */
	public boolean has(String flag) {
		return this.options.has(flag);
	}

	/**
	 * Returns the value of a flag, or its default.
	 * @param flag name without dashes
	 * @return the value as text
	 */
	public String text(String flag) {
		return String.valueOf(this.options.valueOf(flag));
	}

	/**
	 * Returns the value of a flag, or its default, as a whole number.
	 * @param flag name without dashes
	 * @return the value
	 */
	public long number(String flag) {
		return Long.parseLong(text(flag));
	}

	/**
	 * Returns the value of a flag, or its default, as a decimal number.
	 * @param flag name without dashes
	 * @return the value
	 */
	public double decimal(String flag) {
		return Double.parseDouble(text(flag));
	}

	/**
	 * Returns the stream for progress messages.
	 * @return the stream
	 */
	public PrintStream output() {
		return this.output;
	}

}
