package org.wasabicart.mesh.allotment;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.allotment.AllotmentDecision;
import org.wasabicart.core.workspace.WorkspaceName;

/**
 * Decision of the allotments on one request, which may be returned.
 */
public final class AllotmentPermit {

	private final FleetAllotments allotments;

	private final WorkspaceName workspace;

	private final AllotmentDecision decision;

	private boolean returned;

	AllotmentPermit(FleetAllotments allotments, WorkspaceName workspace, AllotmentDecision decision) {
		this.allotments = Objects.requireNonNull(allotments, "allotments");
		this.workspace = Objects.requireNonNull(workspace, "workspace");
		this.decision = Objects.requireNonNull(decision, "decision");
	}

	/**
	 * Returns when the caller of a refused request should retry.
	 * @return the delay, or empty if the request may run
	 */
	public Optional<Duration> retryAfterIfRefused() {
		return this.decision.admitted() ? Optional.empty()
				: Optional.of(Duration.ofNanos(this.decision.retryNanoseconds()));
	}

	/**
	 * The request was refused before it ran and is not counted. Further calls have no
	 * effect.
	 */
	public void returnUnused() {
		if (!this.returned) {
			this.returned = true;
			this.allotments.returned(this.workspace, this.decision);
		}
	}

}
