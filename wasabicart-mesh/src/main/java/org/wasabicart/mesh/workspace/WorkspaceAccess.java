package org.wasabicart.mesh.workspace;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

import org.wasabicart.core.workspace.KeyDigest;
import org.wasabicart.core.workspace.Workspace;
import org.wasabicart.core.workspace.WorkspaceDirectory;

/**
 * Identifies the workspace of each request at the entry by the key that the request
 * carries.
 */
public final class WorkspaceAccess {

	private final String keyField;

	private final String keyScheme;

	/**
	 * Creates the access control.
	 * @param keyField name of the header field that carries the key
	 * @param keyScheme authentication scheme that precedes the key, in any case
	 */
	public WorkspaceAccess(String keyField, String keyScheme) {
		this.keyField = Objects.requireNonNull(keyField, "keyField");
		this.keyScheme = Objects.requireNonNull(keyScheme, "keyScheme");
	}

	/**
	 * Decides on a request.
	 * @param directory workspaces of the configuration in force
	 * @param anonymous whether the route of the request needs no key
	 * @param headers header fields of the request
	 * @return the decision
	 */
	public AccessDecision decide(WorkspaceDirectory directory, boolean anonymous, HttpHeaders headers) {
		if (!directory.keysRequired()) {
			return AccessDecision.NO_KEYS;
		}
		AccessDecision decision = identify(directory, headers);
		return (anonymous && decision.rejection().isPresent()) ? AccessDecision.ANONYMOUS : decision;
	}

	private AccessDecision identify(WorkspaceDirectory directory, HttpHeaders headers) {
		List<String> values = headers.getAll(this.keyField);
		if (values.isEmpty()) {
			return AccessDecision.rejected(RejectionReason.MISSING);
		}
		if (values.size() > 1) {
			return AccessDecision.rejected(RejectionReason.DOUBLED);
		}
		Optional<KeyDigest> key = key(values.get(0)).map(KeyDigest::of);
		if (key.isEmpty()) {
			return AccessDecision.rejected(RejectionReason.MALFORMED);
		}
		return directory.find(key.get())
			.map((workspace) -> AccessDecision.identified(workspace, key.get()))
			.orElseGet(() -> AccessDecision.rejected(RejectionReason.UNKNOWN));
	}

	private Optional<String> key(String credentials) {
		int length = this.keyScheme.length();
		if (!credentials.regionMatches(true, 0, this.keyScheme, 0, length) || credentials.length() == length
				|| credentials.charAt(length) != ' ') {
			return Optional.empty();
		}
		return Optional.of(credentials.substring(length).strip()).filter(KeyDigest::isKey);
	}

	/**
	 * Returns whether a decision on a request that has not ended still holds. A request
	 * is not sent again after its key was withdrawn, or as it is after keys have become
	 * required. Any request may be sent again if no key is required any more.
	 * @param decision decision on the request
	 * @param directory workspaces of the configuration in force
	 * @return whether it would be decided in the same way
	 */
	public boolean stillHolds(AccessDecision decision, WorkspaceDirectory directory) {
		if (!directory.keysRequired()) {
			return true;
		}
		if (!decision.keysRequired()) {
			return false;
		}
		return decision.key()
			.map((key) -> directory.find(key).map(Workspace::name).equals(decision.workspace().map(Workspace::name)))
			.orElse(true);
	}

	/**
	 * Returns whether the key that identified the workspace of a request is no longer
	 * valid. A key that has moved to another workspace is valid.
	 * @param decision decision on the request
	 * @param directory workspaces of the configuration in force
	 * @return whether the request would be rejected now
	 */
	public boolean keyWithdrawn(AccessDecision decision, WorkspaceDirectory directory) {
		return directory.keysRequired() && decision.key().filter((key) -> directory.find(key).isEmpty()).isPresent();
	}

}
