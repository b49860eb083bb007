package org.wasabicart.configuration;

import java.util.Objects;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.ServiceName;

/**
 * The product manager's part of a request kind.
 *
 * @param name kind
 * @param importance 0 (refused first) to 100 (refused last)
 * @param credit value of one answered root request, zero or higher
 * @param execution whether the kind is idempotent or an order
 * @param entryService service that answers the root request
 * @param pathPrefix path prefix that identifies the kind; empty if only a header
 * identifies it
 */
public record KindDeclaration(KindName name, int importance, double credit, Execution execution,
		ServiceName entryService, String pathPrefix) {

	public KindDeclaration {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(execution, "execution");
		Objects.requireNonNull(entryService, "entryService");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
	}

}
