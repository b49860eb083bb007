package org.wasabicart.experiment.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;

/**
 * Compares membership with and without the crash estimate under pauses, loss, partitions,
 * crashes and replacements.
 */
public final class MembershipFaultsExperiment implements Experiment {

	@Override
	public String name() {
		return "membership-faults";
	}

	@Override
	public String description() {
		return "membership under pauses, loss, partitions and replacements, with and without the crash estimate";
	}

	@Override
	public void declareFlags(OptionParser parser) {
		parser.accepts("nodes", "Number of nodes").withRequiredArg().defaultsTo("120");
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) {
		FleetLayout layout = FleetLayout.planned((int) arguments.number("nodes"));
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		report.put("nodes", layout.nodes());
		report.set("withoutEstimate", new FaultScenarios(layout, arguments.seed(), false).run());
		report.set("withEstimate", new FaultScenarios(layout, arguments.seed(), true).run());
		return report;
	}

}
