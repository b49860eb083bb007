package org.wasabicart.core.workspace;

import java.util.List;
import java.util.Objects;

/**
 * Workspace with the keys that identify it.
 *
 * @param workspace workspace
 * @param keys digests of the keys
 */
public record WorkspaceKeys(Workspace workspace, List<KeyDigest> keys) {

	public WorkspaceKeys {
		Objects.requireNonNull(workspace, "workspace");
		keys = List.copyOf(keys);
	}

}
