package org.wasabicart.experiment;

import java.util.List;

import org.wasabicart.experiment.harness.DeploymentPlan;
import org.wasabicart.experiment.harness.FailureDomainModel;
import org.wasabicart.experiment.harness.KindModel;
import org.wasabicart.experiment.harness.ServiceModel;

/**
 * The users' deployments, scaled down to one server of each service in one failure domain
 * of each region.
 */
public final class ScaledPlans {

	/** Divisor of slots and connections of the Kleinhans deployment. */
	public static final int KLEINHANS_DIVISOR = 5;

	/** Divisor of slots and connections of the Hualien deployment. */
	public static final int HUALIEN_DIVISOR = 7;

	private static final double BOTTLENECK_SERVICE_MILLISECONDS = 80;

	private static final double OTHER_SERVICE_MILLISECONDS = 10;

	private static final int ANSWER_BYTES = 400;

	private static final double REGION_DELAY_MILLISECONDS = 12;

	private static final double REGION_MEGABITS = 30;

	private ScaledPlans() {
	}

	/**
	 * Returns a deployment by its name.
	 * @param name {@code kleinhans} or {@code hualien}
	 * @return the plan
	 */
	public static DeploymentPlan of(String name) {
		return switch (name) {
			case "kleinhans" -> kleinhans();
			case "hualien" -> hualien();
			default -> throw new IllegalArgumentException("Unknown deployment: " + name);
		};
	}

	/**
	 * Returns the Kleinhans deployment. Lookups and print runs reach quoting, the service
	 * with the fewest slots, through stores.
	 * @return the plan
	 */
	public static DeploymentPlan kleinhans() {
		return new DeploymentPlan("kleinhans",
				List.of(new FailureDomainModel("gauteng-1", "gauteng"),
						new FailureDomainModel("western-cape-1", "western-cape")),
				List.of(service("catalogue", 120, 830, KLEINHANS_DIVISOR, "stores"),
						service("orders", 120, 830, KLEINHANS_DIVISOR, "stores"),
						service("stores", 120, 830, KLEINHANS_DIVISOR, "quoting"),
						service("quoting", 25, 240, KLEINHANS_DIVISOR, "")),
				List.of(new KindModel("print-run", 90, 20, true, "orders", "/print-runs", 1_500, 3, 0.05),
						new KindModel("stock-lookup", 60, 3, false, "stores", "/stock", 1_000, 2, 0.25),
						new KindModel("design-lookup", 40, 1, false, "catalogue", "/designs", 1_000, 2, 0.4),
						new KindModel("design-preview", 10, 0.2, false, "catalogue", "/previews", 1_000, 1, 0.3)),
				0.5, REGION_DELAY_MILLISECONDS, REGION_MEGABITS, true);
	}

	/**
	 * Returns the Hualien deployment. Shelf counts, lots and replenishment orders reach
	 * the chill desk, the service with the fewest slots, through the lot desk.
	 * @return the plan
	 */
	public static DeploymentPlan hualien() {
		return new DeploymentPlan("hualien",
				List.of(new FailureDomainModel("north-1", "north"), new FailureDomainModel("south-1", "south")),
				List.of(service("counter-desk", 200, 1_300, HUALIEN_DIVISOR, "lot-desk"),
						service("order-desk", 200, 1_300, HUALIEN_DIVISOR, "lot-desk"),
						service("lot-desk", 160, 1_050, HUALIEN_DIVISOR, "chill-desk"),
						service("chill-desk", 35, 300, HUALIEN_DIVISOR, "")),
				List.of(new KindModel("replenishment-order", 90, 10, true, "order-desk", "/replenishments", 1_500, 3,
						0.05), new KindModel("shelf-count", 60, 3, false, "counter-desk", "/shelves", 1_000, 2, 0.4),
						new KindModel("ingredient-lot", 40, 2, false, "lot-desk", "/lots", 1_000, 2, 0.3),
						new KindModel("cold-room-holding", 20, 1, false, "chill-desk", "/cold-rooms", 1_000, 1, 0.25)),
				1.5, REGION_DELAY_MILLISECONDS, REGION_MEGABITS, true);
	}

	private static ServiceModel service(String name, int slots, int connections, int divisor, String calls) {
		boolean leaf = calls.isEmpty();
		boolean callsLeaf = calls.equals("quoting") || calls.equals("chill-desk");
		int levelsBelow = leaf ? 0 : (callsLeaf ? 1 : 2);
		return new ServiceModel(name, 1, slots / divisor, connections / divisor,
				leaf ? BOTTLENECK_SERVICE_MILLISECONDS : OTHER_SERVICE_MILLISECONDS, leaf ? List.of() : List.of(calls),
				600 + 100L * levelsBelow, 100, ANSWER_BYTES);
	}

}
