package org.wasabicart.core.mesh;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param headerBytes largest size of a request's head, in bytes
 * @param bodyBytes largest size of a request's body, in bytes
 * @param headerTimeout longest time that a request's head may take
 * @param idleTimeout time after which an idle connection is closed
 */
public record CallerLimits(int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** Bounds that apply until a configuration sets others. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 64L * 1024 * 1024, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

}
