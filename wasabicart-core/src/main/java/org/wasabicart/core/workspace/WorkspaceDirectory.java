package org.wasabicart.core.workspace;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Workspaces of one configuration, by the digests of their keys. The cost of a lookup
 * does not depend on the number of keys. Immutable.
 */
public final class WorkspaceDirectory {

	private static final WorkspaceDirectory EMPTY = new WorkspaceDirectory(false, List.of());

	private final boolean keysRequired;

	private final Map<WorkspaceName, Workspace> workspaces = new LinkedHashMap<>();

	private final Map<KeyDigest, Workspace> byKey = new HashMap<>();

	private final Set<KeyConflict> conflicts = new LinkedHashSet<>();

	private WorkspaceDirectory(boolean keysRequired, List<WorkspaceKeys> entries) {
		this.keysRequired = keysRequired;
		Set<KeyDigest> contested = new HashSet<>();
		for (WorkspaceKeys entry : entries) {
			Workspace workspace = entry.workspace();
			if (this.workspaces.putIfAbsent(workspace.name(), workspace) != null) {
				throw new IllegalArgumentException("Workspace is listed twice: " + workspace.name());
			}
			for (KeyDigest key : entry.keys()) {
				Workspace other = this.byKey.putIfAbsent(key, workspace);
				if (other != null && other != workspace) {
					contested.add(key);
					this.conflicts.add(new KeyConflict(other.name(), workspace.name()));
				}
			}
		}
		this.byKey.keySet().removeAll(contested);
	}

	/**
	 * Returns the directory of a configuration without workspaces, in which requests need
	 * no key.
	 * @return the directory
	 */
	public static WorkspaceDirectory empty() {
		return EMPTY;
	}

	/**
	 * Creates the directory of a configuration with workspaces. Requests need a key, also
	 * if no entry could be read. A key that two workspaces claim identifies neither.
	 * @param entries workspaces with different names
	 * @return the directory
	 */
	public static WorkspaceDirectory of(List<WorkspaceKeys> entries) {
		return new WorkspaceDirectory(true, entries);
	}

	/**
	 * Returns whether requests must carry a key.
	 * @return whether the configuration has workspaces
	 */
	public boolean keysRequired() {
		return this.keysRequired;
	}

	/**
	 * Finds the workspace that a key identifies.
	 * @param key digest of the key
	 * @return the workspace, or empty if the key is unknown or claimed by two workspaces
	 */
	public Optional<Workspace> find(KeyDigest key) {
		return Optional.ofNullable(this.byKey.get(key));
	}

	/**
	 * Finds a workspace by its name.
	 * @param name name
	 * @return the workspace, or empty if it is not configured
	 */
	public Optional<Workspace> find(WorkspaceName name) {
		return Optional.ofNullable(this.workspaces.get(name));
	}

	/**
	 * Returns all workspaces.
	 * @return the workspaces, in the order of the configuration
	 */
	public Collection<Workspace> workspaces() {
		return List.copyOf(this.workspaces.values());
	}

	/**
	 * Returns the number of workspaces.
	 * @return the number
	 */
	public int size() {
		return this.workspaces.size();
	}

	/**
	 * Returns the workspaces that claim the same keys.
	 * @return one conflict for each pair
	 */
	public Set<KeyConflict> conflicts() {
		return Set.copyOf(this.conflicts);
	}

}
