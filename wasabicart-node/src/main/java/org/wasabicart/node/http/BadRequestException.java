package org.wasabicart.node.http;

import java.util.List;

import org.wasabicart.configuration.Finding;
import org.wasabicart.core.model.RefusalReason;

/**
 * Thrown when an HTTP request cannot be converted to a call.
 */
final class BadRequestException extends Exception {

	private static final long serialVersionUID = 1L;

	private final RefusalReason reason;

	private final transient List<Finding> findings;

	BadRequestException(RefusalReason reason, List<Finding> findings) {
		super(findings.toString());
		this.reason = reason;
		this.findings = List.copyOf(findings);
	}

	RefusalReason reason() {
		return this.reason;
	}

	List<Finding> findings() {
		return this.findings;
	}

}
