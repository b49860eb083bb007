package org.wasabicart.core.workspace;

import java.util.Objects;

/**
 * Two workspaces that claim the same key, which identifies neither.
 *
 * @param first workspace that is listed first
 * @param second workspace that is listed later
 */
public record KeyConflict(WorkspaceName first, WorkspaceName second) {

	public KeyConflict {
		Objects.requireNonNull(first, "first");
		Objects.requireNonNull(second, "second");
	}

}
