package org.wasabicart.core.adoption;

import java.util.Objects;

import org.wasabicart.core.model.Revision;

/**
 * Decides which configuration revision is in force on the node. The highest revision
 * wins; the revision in force never decreases. Not thread-safe.
 */
public final class ConfigurationAdoption {

	private Revision inForce = new Revision(0);

	/**
	 * Returns whether a revision should be fetched.
	 * @param candidate revision that a peer or the store has
	 * @return {@code true} if it is higher than the one in force
	 */
	public boolean isNewer(Revision candidate) {
		return candidate.compareTo(this.inForce) > 0;
	}

	/**
	 * Offers a validated configuration.
	 * @param candidate its revision
	 * @return {@code true} if it is now in force; {@code false} if it is ignored
	 */
	public boolean offer(Revision candidate) {
		Objects.requireNonNull(candidate, "candidate");
		if (!isNewer(candidate)) {
			return false;
		}
		this.inForce = candidate;
		return true;
	}

	/**
	 * Returns the revision in force.
	 * @return revision; zero if none has been adopted
	 */
	public Revision inForce() {
		return this.inForce;
	}

}
