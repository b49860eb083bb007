package org.wasabicart.mesh.workspace;

import java.util.Optional;

import org.wasabicart.core.mesh.RequestPriority;
import org.wasabicart.core.workspace.KeyDigest;
import org.wasabicart.core.workspace.Workspace;

/**
 * Decision on the key of one request.
 *
 * @param keysRequired whether the configuration has workspaces; otherwise the request is
 * passed on as it is
 * @param workspace workspace that the key identifies, or empty for an anonymous request
 * @param key digest of the key that identified the workspace
 * @param rejection why the request is rejected, or empty if it is accepted
 */
public record AccessDecision(boolean keysRequired, Optional<Workspace> workspace, Optional<KeyDigest> key,
		Optional<RejectionReason> rejection) {

	/** Accepts a request without looking for a key. */
	public static final AccessDecision NO_KEYS = new AccessDecision(false, Optional.empty(), Optional.empty(),
			Optional.empty());

	/** Accepts a request on a route that needs no key. */
	public static final AccessDecision ANONYMOUS = new AccessDecision(true, Optional.empty(), Optional.empty(),
			Optional.empty());

	static AccessDecision identified(Workspace workspace, KeyDigest key) {
		return new AccessDecision(true, Optional.of(workspace), Optional.of(key), Optional.empty());
	}

	static AccessDecision rejected(RejectionReason reason) {
		return new AccessDecision(true, Optional.empty(), Optional.empty(), Optional.of(reason));
	}

	/**
	 * Returns the priority of the request.
	 * @param route priority of its route
	 * @return the priority
	 */
	public RequestPriority priority(int route) {
		return this.workspace.map((identified) -> new RequestPriority(identified.priority(), route))
			.orElseGet(() -> RequestPriority.ofRoute(route));
	}

	/**
	 * Returns the name of the workspace for log lines.
	 * @return the name, or an empty text if none is known
	 */
	public String workspaceLabel() {
		return this.workspace.map((identified) -> identified.name().value()).orElse("");
	}

}
