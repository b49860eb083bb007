package org.wasabicart.node;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;

import org.wasabicart.core.model.ConfigurationSnapshot;

/**
 * Holds the configuration in force on this node, whose revision never decreases. Safe for
 * use by several threads.
 */
public final class ConfigurationHolder {

	private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();

	private volatile ConfigurationSnapshot current = ConfigurationSnapshot.empty();

	/**
	 * Returns the configuration in force.
	 * @return the snapshot; the empty one before the first adoption
	 */
	public ConfigurationSnapshot current() {
		return this.current;
	}

	/**
	 * Puts a configuration in force if its revision is higher than the current one.
	 * @param snapshot candidate
	 * @return whether it was put in force
	 */
	public synchronized boolean adopt(ConfigurationSnapshot snapshot) {
		Objects.requireNonNull(snapshot, "snapshot");
		if (snapshot.revision().compareTo(this.current.revision()) <= 0) {
			return false;
		}
		this.current = snapshot;
		this.listeners.forEach((listener) -> listener.adopted(snapshot));
		return true;
	}

	/**
	 * Adds a listener for later adoptions.
	 * @param listener listener
	 */
	public void addListener(ConfigurationListener listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener"));
	}

}
