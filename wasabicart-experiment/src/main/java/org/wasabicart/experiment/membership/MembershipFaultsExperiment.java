package org.wasabicart.experiment.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;

/**
 * Measures membership under pauses, loss, partitions, crashes and replacements.
 */
public final class MembershipFaultsExperiment implements Experiment {

	@Override
	public String name() {
		return "membership-faults";
	}

	@Override
	public String description() {
		return "membership under pauses, loss, partitions and replacements";
	}

	@Override
	public void declareFlags(OptionParser parser) {
		parser.accepts("nodes", "Number of nodes").withRequiredArg().defaultsTo("120");
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) {
		FleetLayout layout = FleetLayout.ofSize((int) arguments.number("nodes"));
		ObjectNode report = new FaultScenarios(layout, arguments.seed()).run();
		report.put("nodes", layout.nodes());
		return report;
	}

}
