package org.wasabicart.core.mesh;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.wasabicart.core.workspace.WorkspaceName;

/**
 * What an order by target latency must know about a call beside its priority and its
 * latest start.
 *
 * @param nested whether the call belongs to a request that already runs
 * @param workspace workspace of the request, or empty if none is known
 * @param latestTargetStart latest start in nanoseconds with which the call is expected to
 * meet its target latency, or empty if it has none
 */
public record TargetTerms(boolean nested, Optional<WorkspaceName> workspace, OptionalLong latestTargetStart) {

	/** Terms of a new call without workspace and target latency. */
	public static final TargetTerms NONE = new TargetTerms(false, Optional.empty(), OptionalLong.empty());

	public TargetTerms {
		Objects.requireNonNull(workspace, "workspace");
		Objects.requireNonNull(latestTargetStart, "latestTargetStart");
	}

}
