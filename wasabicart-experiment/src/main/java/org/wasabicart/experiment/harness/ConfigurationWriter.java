package org.wasabicart.experiment.harness;

import java.time.Duration;
import java.util.List;

import org.wasabicart.configuration.ConfigurationBuilder;
import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.configuration.ConfigurationFormat;
import org.wasabicart.configuration.Finding;
import org.wasabicart.configuration.NetworkDeclaration;
import org.wasabicart.configuration.OperationsSectionBuilder;
import org.wasabicart.configuration.ProductSectionBuilder;

/**
 * Writes the configuration of a deployment plan.
 */
public final class ConfigurationWriter {

	private static final int QUEUE_BYTES = 4 * 1024 * 1024;

	private static final double RETRY_BUDGET_RATIO = 0.1;

	// Applies to requests whose kind sets no deadline; all kinds of a plan set one.
	private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(1);

	private final DeploymentPlan plan;

	/**
	 * Creates a writer.
	 * @param plan plan of the deployment
	 */
	public ConfigurationWriter(DeploymentPlan plan) {
		this.plan = plan;
	}

	/**
	 * Returns the configuration as JSON.
	 * @return the JSON
	 * @throws IllegalStateException if the configuration library reports findings
	 */
	public String json() {
		ConfigurationBuilder builder = new ConfigurationBuilder().product("product-manager", this::product)
			.operations("operations-lead", this::operations);
		ConfigurationDocument document = builder.build();
		List<Finding> findings = new ConfigurationFormat().check(this.plan.name(), document);
		if (!findings.isEmpty()) {
			throw new IllegalStateException("The configuration of the plan is not valid: " + findings);
		}
		return builder.toJson();
	}

	private void product(ProductSectionBuilder product) {
		for (KindModel kind : this.plan.kinds()) {
			product.kind(kind.name(), (builder) -> {
				builder.importance(kind.importance())
					.credit(kind.credit())
					.entryService(kind.entryService())
					.pathPrefix(kind.pathPrefix());
				if (kind.order()) {
					builder.order();
				}
			});
		}
		product.tenant(DeploymentPlan.TENANT, 1);
	}

	private void operations(OperationsSectionBuilder operations) {
		int maximumAllowance = 0;
		for (ServiceModel service : this.plan.services()) {
			operations.service(service.name(),
					(builder) -> builder.slots(service.slots())
						.ceiling(service.slots() * 2)
						.connections(service.connections())
						.retryBudgetRatio(RETRY_BUDGET_RATIO)
						.queue(Duration.ofMillis(service.queueMilliseconds()), QUEUE_BYTES)
						.attemptDeadline(Duration.ofMillis(service.attemptDeadlineMilliseconds()))
						.calls(service.calls().toArray(String[]::new)));
		}
		for (KindModel kind : this.plan.kinds()) {
			operations.kindLimit(kind.name(), Duration.ofMillis(kind.deadlineMilliseconds()), kind.retryAllowance());
			maximumAllowance = Math.max(maximumAllowance, kind.retryAllowance());
		}
		operations.maximumRetryAllowance(maximumAllowance);
		operations.defaultLimit(DEFAULT_DEADLINE, 0);
		this.plan.domains().forEach((domain) -> operations.failureDomain(domain.name(), domain.region()));
		operations.network(new NetworkDeclaration(this.plan.regionMegabits(), delay(this.plan.domainMilliseconds()),
				delay(this.plan.regionMilliseconds()), Duration.ofMillis(1)));
	}

	private static Duration delay(double milliseconds) {
		return Duration.ofNanos(Math.round(milliseconds * 1e6));
	}

}
