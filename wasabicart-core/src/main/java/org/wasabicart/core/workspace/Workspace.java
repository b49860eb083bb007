package org.wasabicart.core.workspace;

import java.util.Objects;

import org.wasabicart.core.allotment.Allotment;

/**
 * A customer of the deployment.
 *
 * @param name name
 * @param priority priority of its requests; 0 is the highest
 * @param allotment limit on its requests through all nodes together
 */
public record Workspace(WorkspaceName name, int priority, Allotment allotment) {

	public Workspace {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(allotment, "allotment");
		if (priority < 0) {
			throw new IllegalArgumentException("Priority of a workspace is negative: " + priority);
		}
	}

}
