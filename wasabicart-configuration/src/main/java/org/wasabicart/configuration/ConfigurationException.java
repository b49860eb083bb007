package org.wasabicart.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Reports all findings of a configuration together.
 */
public final class ConfigurationException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<Finding> findings;

	/**
	 * Creates an exception.
	 * @param findings at least one finding
	 */
	public ConfigurationException(List<Finding> findings) {
		super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
		this.findings = List.copyOf(findings);
	}

	/**
	 * Returns all findings.
	 * @return the findings, at least one
	 */
	public List<Finding> findings() {
		return this.findings;
	}

}
