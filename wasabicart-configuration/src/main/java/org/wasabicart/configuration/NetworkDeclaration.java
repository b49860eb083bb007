package org.wasabicart.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * Network delays and rates, as declared by the operations lead.
 *
 * @param regionLinkMegabitsPerSecond rate of the link between regions in each direction
 * @param delayBetweenFailureDomains one-way delay between failure domains of the same
 * region
 * @param delayBetweenRegions one-way delay between regions
 * @param delayToClients one-way delay to clients
 */
public record NetworkDeclaration(double regionLinkMegabitsPerSecond, Duration delayBetweenFailureDomains,
		Duration delayBetweenRegions, Duration delayToClients) {

	public NetworkDeclaration {
		Objects.requireNonNull(delayBetweenFailureDomains, "delayBetweenFailureDomains");
		Objects.requireNonNull(delayBetweenRegions, "delayBetweenRegions");
		Objects.requireNonNull(delayToClients, "delayToClients");
	}

}
