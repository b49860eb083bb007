package org.wasabicart.mesh;

import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.mesh.RateLimit;

/**
 * What a backend server states about itself in a response.
 *
 * @param rateLimit rate up to which it accepts requests, or empty if the response does
 * not tell
 * @param leaving whether it is leaving
 */
record BackendNotice(Optional<RateLimit> rateLimit, boolean leaving) {

	BackendNotice {
		Objects.requireNonNull(rateLimit, "rateLimit");
	}

}
