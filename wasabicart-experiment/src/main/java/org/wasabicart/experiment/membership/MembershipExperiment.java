package org.wasabicart.experiment.membership;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;

/**
 * Measures detection and dissemination of crashes, false removals and the cost of
 * membership at one size of the fleet.
 */
public final class MembershipExperiment implements Experiment {

	@Override
	public String name() {
		return "membership";
	}

	@Override
	public String description() {
		return "time until all nodes know of a crash, false removals, and cost of membership";
	}

	@Override
	public void declareFlags(OptionParser parser) {
		parser.accepts("nodes", "Number of nodes").withRequiredArg().defaultsTo("80");
		parser.accepts("loss", "Share of lost datagrams").withRequiredArg().defaultsTo("0");
		parser.accepts("crashes", "Number of crashes").withRequiredArg().defaultsTo("120");
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) {
		return new MembershipMeasurement((int) arguments.number("nodes"), arguments.decimal("loss"),
				(int) arguments.number("crashes"), arguments.seed())
			.measure();
	}

}
