package org.wasabicart.experiment.overload;

import java.util.List;
import java.util.Objects;

import org.wasabicart.experiment.figures.TimeWindow;
import org.wasabicart.standin.caller.CallerBehaviour;
import org.wasabicart.standin.caller.LoadPhase;

/**
 * Load and trigger of an overload experiment. The loads are multiples of the capacity of
 * the bottleneck service.
 *
 * @param name name of the experiment
 * @param description one-line description for the help text
 * @param baseLoad load before and after the trigger
 * @param triggerLoad load during the trigger
 * @param triggerCapacityShare share of the capacity that remains during the trigger
 * @param triggerSeconds duration of the trigger
 * @param behaviour how callers retry requests
 * @param begin action that begins the trigger
 * @param end action that ends the trigger
 */
public record OverloadScenario(String name, String description, double baseLoad, double triggerLoad,
		double triggerCapacityShare, double triggerSeconds, CallerBehaviour behaviour, DeploymentAction begin,
		DeploymentAction end) {

	// The nodes take their first samples of this load; goodput is not measured yet.
	private static final double SETTLE_SECONDS = 1;

	private static final double BEFORE_SECONDS = 2;

	private static final double AFTER_SECONDS = 3;

	public OverloadScenario {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(description, "description");
	}

	List<LoadPhase> phases(double capacity) {
		return List.of(new LoadPhase(SETTLE_SECONDS + BEFORE_SECONDS, this.baseLoad * capacity),
				new LoadPhase(this.triggerSeconds, this.triggerLoad * capacity),
				new LoadPhase(AFTER_SECONDS, this.baseLoad * capacity));
	}

	TimeWindow before() {
		return new TimeWindow(SETTLE_SECONDS, SETTLE_SECONDS + BEFORE_SECONDS);
	}

	TimeWindow trigger() {
		double start = SETTLE_SECONDS + BEFORE_SECONDS;
		return new TimeWindow(start, start + this.triggerSeconds);
	}

	double loadEndSeconds() {
		return trigger().toSeconds() + AFTER_SECONDS;
	}

}
