package org.wasabicart.node.settings;

import java.util.List;
import java.util.stream.Collectors;

import org.wasabicart.configuration.Finding;

/**
 * Thrown when settings are missing or invalid. Reports all findings together.
 */
public final class SettingsException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<Finding> findings;

	SettingsException(List<Finding> findings) {
		super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
		this.findings = List.copyOf(findings);
	}

	/**
	 * Returns the findings.
	 * @return at least one finding
	 */
	public List<Finding> findings() {
		return this.findings;
	}

}
