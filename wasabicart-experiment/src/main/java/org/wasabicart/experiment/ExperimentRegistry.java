package org.wasabicart.experiment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wasabicart.experiment.demo.DemoExperiment;
import org.wasabicart.experiment.latency.LatencyExperiment;
import org.wasabicart.experiment.link.SilentConnectionsExperiment;
import org.wasabicart.experiment.membership.ConfigurationExperiment;
import org.wasabicart.experiment.membership.DrainExperiment;
import org.wasabicart.experiment.membership.MembershipExperiment;
import org.wasabicart.experiment.membership.MembershipFaultsExperiment;
import org.wasabicart.experiment.orders.OrdersExperiment;
import org.wasabicart.experiment.overload.OverloadExperiment;
import org.wasabicart.experiment.partition.PartitionExperiment;

/**
 * Experiments that the command line offers.
 */
public final class ExperimentRegistry {

	private final Map<String, Experiment> experiments = new LinkedHashMap<>();

	/**
	 * Creates a registry.
	 * @param experiments experiments in the order of the help text
	 */
	public ExperimentRegistry(Collection<Experiment> experiments) {
		for (Experiment experiment : experiments) {
			if (this.experiments.put(experiment.name(), experiment) != null) {
				throw new IllegalArgumentException("Duplicate experiment name: " + experiment.name());
			}
		}
	}

	/**
	 * Returns the registry of the project's experiments.
	 * @return the registry
	 */
	public static ExperimentRegistry standard() {
		List<Experiment> experiments = new ArrayList<>();
		experiments.add(new DemoExperiment());
		experiments.add(new LatencyExperiment());
		experiments.addAll(OverloadExperiment.all());
		experiments.add(new OrdersExperiment());
		experiments.add(new SilentConnectionsExperiment());
		experiments.add(new MembershipExperiment());
		experiments.add(new MembershipFaultsExperiment());
		experiments.add(new ConfigurationExperiment());
		experiments.add(new DrainExperiment());
		experiments.add(new PartitionExperiment());
		return new ExperimentRegistry(experiments);
	}

	/**
	 * Returns all experiments.
	 * @return the experiments in the order of the help text
	 */
	public Collection<Experiment> all() {
		return Collections.unmodifiableCollection(this.experiments.values());
	}

	/**
	 * Finds an experiment.
	 * @param name name on the command line
	 * @return the experiment, or empty if there is none of this name
	 */
	public Optional<Experiment> find(String name) {
		return Optional.ofNullable(this.experiments.get(name));
	}

}
