package org.wasabicart.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * Delays and rates of the network, as the operations lead knows them.
 *
 * @param regionLinkMegabitsPerSecond rate of the link between regions, each way
 * @param delayBetweenFailureDomains one-way delay inside a region
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
