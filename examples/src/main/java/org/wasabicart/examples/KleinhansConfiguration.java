package org.wasabicart.examples;

import java.time.Duration;

import org.wasabicart.configuration.ConfigurationBuilder;
import org.wasabicart.configuration.NetworkDeclaration;
import org.wasabicart.configuration.OperationsSectionBuilder;
import org.wasabicart.configuration.ProductSectionBuilder;
import org.wasabicart.configuration.ServiceBuilder;

/**
 * Prints the configuration of Kleinhans Mat &amp; Print: catalogue exports, lookups of
 * designs and stock, and print orders.
 */
public final class KleinhansConfiguration {

	private KleinhansConfiguration() {
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
		return new ConfigurationBuilder().product("product-manager", KleinhansConfiguration::product)
			.operations("operations-lead", KleinhansConfiguration::operations);
	}

	private static void product(ProductSectionBuilder product) {
		product
			.kind("print-order",
					(kind) -> kind.importance(90).credit(5).order().entryService("orders").pathPrefix("/print-runs"))
			.kind("design-lookup",
					(kind) -> kind.importance(60).credit(1).entryService("catalogue").pathPrefix("/designs"))
			.kind("stock-lookup", (kind) -> kind.importance(50).credit(1).entryService("stores").pathPrefix("/stock"))
			.kind("catalogue-export",
					(kind) -> kind.importance(10).credit(0).entryService("catalogue").pathPrefix("/export"))
			.tenant("shop", 2)
			.tenant("farm-co-op", 1);
	}

	private static void operations(OperationsSectionBuilder operations) {
		operations.service("catalogue", (service) -> withCommonLimits(service).calls("stores"))
			.service("orders", (service) -> withCommonLimits(service).calls("stores"))
			.service("stores",
					(service) -> withCommonLimits(service).attemptDeadline(Duration.ofMillis(600)).calls("quoting"))
			.service("quoting",
					(service) -> service.slots(25)
						.connections(240)
						.ceiling(100)
						.queue(Duration.ofMillis(50), 1_000_000)
						.attemptDeadline(Duration.ofMillis(300)))
			.kindLimit("print-order", Duration.ofSeconds(3), 2)
			.kindLimit("design-lookup", Duration.ofSeconds(1), 2)
			.kindLimit("stock-lookup", Duration.ofSeconds(1), 2)
			.defaultLimit(Duration.ofSeconds(2), 1)
			.maximumRetryAllowance(3)
			.failureDomain("gauteng-1", "gauteng")
			.failureDomain("gauteng-2", "gauteng")
			.failureDomain("western-cape-1", "western-cape")
			.failureDomain("western-cape-2", "western-cape")
			.network(
					new NetworkDeclaration(30, Duration.ofNanos(500_000), Duration.ofMillis(12), Duration.ofMillis(1)));
	}

	private static ServiceBuilder withCommonLimits(ServiceBuilder service) {
		return service.slots(120)
			.connections(830)
			.ceiling(400)
			.queue(Duration.ofMillis(50), 4_000_000)
			.attemptDeadline(Duration.ofMillis(900));
	}

}
