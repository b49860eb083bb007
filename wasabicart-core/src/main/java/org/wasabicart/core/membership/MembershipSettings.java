package org.wasabicart.core.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Intervals and timeouts of the membership protocol. All nodes of a deployment use the
 * same values.
 *
 * @param probeInterval time between two probes of a node inside its failure domain
 * @param failureDomainProbeInterval time between two probes of another failure domain of
 * the region
 * @param regionProbeInterval time between two probes of another region
 * @param directTimeout time after which other nodes are asked to probe as well
 * @param indirectTimeout further time after which the member is suspected
 * @param suspicionTimeout time that a suspected member has to refute
 * @param gossipInterval time between two rounds of dissemination
 * @param digestInterval minimum time between two comparisons of bucket digests
 * @param removedProbeInterval time between two probes of removed members, by which nodes
 * find each other again after a partition
 * @param removedRetention time for which removed members are kept
 */
public record MembershipSettings(Duration probeInterval, Duration failureDomainProbeInterval,
		Duration regionProbeInterval, Duration directTimeout, Duration indirectTimeout, Duration suspicionTimeout,
		Duration gossipInterval, Duration digestInterval, Duration removedProbeInterval, Duration removedRetention) {

	/** Largest datagram. It fits in one Ethernet frame, even inside a tunnel. */
	public static final int MAXIMUM_DATAGRAM_BYTES = 1_200;

	/** Interval at which the controller expects ticks. */
	public static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	public MembershipSettings {
		requirePositive(probeInterval, "probeInterval");
		requirePositive(failureDomainProbeInterval, "failureDomainProbeInterval");
		requirePositive(regionProbeInterval, "regionProbeInterval");
		requirePositive(directTimeout, "directTimeout");
		requirePositive(indirectTimeout, "indirectTimeout");
		requirePositive(suspicionTimeout, "suspicionTimeout");
		requirePositive(gossipInterval, "gossipInterval");
		requirePositive(digestInterval, "digestInterval");
		requirePositive(removedProbeInterval, "removedProbeInterval");
		requirePositive(removedRetention, "removedRetention");
	}

	/**
	 * Returns the settings for up to 680 nodes in 6 failure domains and 2 regions.
	 * @return settings
	 */
	public static MembershipSettings defaults() {
		return new MembershipSettings(Duration.ofMillis(400), Duration.ofSeconds(2), Duration.ofSeconds(20),
				Duration.ofMillis(300), Duration.ofMillis(500), Duration.ofSeconds(2), Duration.ofMillis(200),
				Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofHours(1));
	}

	private static void requirePositive(Duration duration, String name) {
		Objects.requireNonNull(duration, name);
		if (duration.isNegative() || duration.isZero()) {
			throw new IllegalArgumentException(name + " is not positive: " + duration);
		}
	}

}
