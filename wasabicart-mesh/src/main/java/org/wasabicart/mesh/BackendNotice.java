package org.wasabicart.mesh;

import java.util.Objects;

import org.wasabicart.core.mesh.RateLimit;

/**
 * What a backend server states about itself in a response.
 *
 * @param rateLimit rate up to which it accepts requests
 * @param leaving whether it is leaving
 */
record BackendNotice(RateLimit rateLimit, boolean leaving) {

	/** Notice of a server that states neither a limit nor that it is leaving. */
	static final BackendNotice NONE = new BackendNotice(RateLimit.NONE, false);

	BackendNotice {
		Objects.requireNonNull(rateLimit, "rateLimit");
	}

}
