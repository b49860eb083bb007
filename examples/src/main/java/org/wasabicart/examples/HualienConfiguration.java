package org.wasabicart.examples;

import java.time.Duration;

import org.wasabicart.configuration.ConfigurationBuilder;
import org.wasabicart.configuration.NetworkDeclaration;
import org.wasabicart.configuration.OperationsSectionBuilder;
import org.wasabicart.configuration.ProductSectionBuilder;
import org.wasabicart.configuration.ServiceBuilder;

/**
 * Prints the configuration of Hualien Crumb's Franchise Stock Division: lookups of desks,
 * shelf counts, ingredient lots and cold-room holdings, and replenishment orders.
 */
public final class HualienConfiguration {

	private HualienConfiguration() {
	}

	/**
	 * Prints the configuration.
	 * @param arguments unused
	 */
	public static void main(String[] arguments) {
		System.out.print(configuration().toJson());
	}

	/**
	 * Returns the configuration.
	 * @return builder with both sections
	 */
	public static ConfigurationBuilder configuration() {
		return new ConfigurationBuilder().product("product-manager", HualienConfiguration::product)
			.operations("operations-lead", HualienConfiguration::operations);
	}

	private static void product(ProductSectionBuilder product) {
		product.kind("replenishment-order", (
				kind) -> kind.importance(90).credit(5).order().entryService("order-desk").pathPrefix("/replenishments"))
			.kind("cold-room-holding",
					(kind) -> kind.importance(70).credit(3).entryService("lot-desk").pathPrefix("/cold-room"))
			.kind("ingredient-lot",
					(kind) -> kind.importance(60).credit(2).entryService("lot-desk").pathPrefix("/lots"))
			.kind("shelf-count",
					(kind) -> kind.importance(50).credit(1).entryService("counter-desk").pathPrefix("/shelves"))
			.kind("desk-lookup",
					(kind) -> kind.importance(20).credit(0).entryService("counter-desk").pathPrefix("/desks"))
			.tenant("outlet", 3)
			.tenant("head-office", 1);
	}

	private static void operations(OperationsSectionBuilder operations) {
		operations.service("counter-desk", (service) -> withCommonLimits(service).calls("lot-desk"))
			.service("order-desk", (service) -> withCommonLimits(service).calls("lot-desk"))
			.service("lot-desk",
					(service) -> service.slots(160)
						.connections(1050)
						.ceiling(500)
						.queue(Duration.ofMillis(50), 4_000_000)
						.attemptDeadline(Duration.ofMillis(600))
						.calls("chill-desk"))
			.service("chill-desk",
					(service) -> service.slots(35)
						.connections(300)
						.ceiling(120)
						.queue(Duration.ofMillis(50), 1_000_000)
						.attemptDeadline(Duration.ofMillis(300)))
			.kindLimit("replenishment-order", Duration.ofSeconds(3), 2)
			.kindLimit("cold-room-holding", Duration.ofSeconds(1), 2)
			.kindLimit("ingredient-lot", Duration.ofSeconds(1), 2)
			.kindLimit("shelf-count", Duration.ofSeconds(1), 2)
			.defaultLimit(Duration.ofSeconds(2), 1)
			.maximumRetryAllowance(3)
			.failureDomain("north-1", "north")
			.failureDomain("north-2", "north")
			.failureDomain("south-1", "south")
			.failureDomain("south-2", "south")
			.network(new NetworkDeclaration(30, Duration.ofNanos(1_500_000), Duration.ofMillis(12),
					Duration.ofMillis(1)));
	}

	private static ServiceBuilder withCommonLimits(ServiceBuilder service) {
		return service.slots(200)
			.connections(1300)
			.ceiling(650)
			.queue(Duration.ofMillis(50), 4_000_000)
			.attemptDeadline(Duration.ofMillis(900));
	}

}
