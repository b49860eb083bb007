package org.wasabicart.experiment.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.core.membership.MembershipSettings;
import org.wasabicart.core.model.MemberState;

/**
 * Runs pauses, datagram loss, partitions, crashes and replacements, each on a new fleet.
 */
final class FaultScenarios {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long CONVERGENCE_LIMIT_NANOSECONDS = 180 * SECOND;

	private final FleetLayout layout;

	private final long seed;

	FaultScenarios(FleetLayout layout, long seed) {
		this.layout = layout;
		this.seed = seed;
	}

	ObjectNode run() {
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		report.set("pauseOfTenPercent6Seconds", pauseNodes(6));
		report.set("pauseOfTenPercent3Seconds", pauseNodes(3));
		report.set("loss20Percent30Seconds", loseDatagrams());
		report.set("failureDomainCut",
				partition((from, to) -> inFirstFailureDomain(from) != inFirstFailureDomain(to), 30));
		report.set("failureDomainCutOutbound",
				partition((from, to) -> inFirstFailureDomain(from) && !inFirstFailureDomain(to), 30));
		report.set("regionsCut", partition((from, to) -> this.layout.regionOf(from) != this.layout.regionOf(to), 300));
		report.set("oneCrash", crashEvery(1));
		report.set("failureDomainCrash", crashEvery(this.layout.failureDomains()));
		report.set("rollingReplacement", rollingReplacement());
		report.set("failureDomainReplacement", failureDomainReplacement());
		report.put("drainingSeenByAllSeconds", drainingSeconds());
		return report;
	}

	private boolean inFirstFailureDomain(int node) {
		return this.layout.failureDomainOf(node) == 0;
	}

	private MembershipFleet startFleet() {
		MembershipFleet fleet = new MembershipFleet(this.layout, MembershipSettings.defaults(), this.seed);
		fleet.startAll(5 * SECOND);
		advance(fleet, 5);
		fleet.awaitConvergence(CONVERGENCE_LIMIT_NANOSECONDS);
		advance(fleet, 15);
		fleet.startRecording();
		return fleet;
	}

	private static void advance(MembershipFleet fleet, long seconds) {
		fleet.time().runUntil(fleet.time().nanoseconds() + seconds * SECOND);
	}

	private static ObjectNode awaitConvergenceAndReport(MembershipFleet fleet, long removals) {
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		result.put("removalsOfRunningNodes", removals);
		long converged = fleet.awaitConvergence(CONVERGENCE_LIMIT_NANOSECONDS);
		result.put("healSeconds", (converged < 0) ? -1 : (double) converged / SECOND);
		return result;
	}

	private ObjectNode pauseNodes(int seconds) {
		MembershipFleet fleet = startFleet();
		for (int node = 0; node < this.layout.nodes(); node += 10) {
			fleet.pause(fleet.node(node), seconds * SECOND);
		}
		advance(fleet, seconds);
		advance(fleet, 2);
		return awaitConvergenceAndReport(fleet, fleet.recorder().falseRemovals());
	}

	private ObjectNode loseDatagrams() {
		MembershipFleet fleet = startFleet();
		fleet.conditions().loss(0.2);
		advance(fleet, 30);
		fleet.conditions().loss(0);
		return awaitConvergenceAndReport(fleet, fleet.recorder().falseRemovals());
	}

	private ObjectNode partition(BiPredicate<Integer, Integer> cut, int seconds) {
		MembershipFleet fleet = startFleet();
		fleet.conditions().cut(cut);
		advance(fleet, seconds);
		long removals = fleet.recorder().falseRemovals();
		fleet.conditions().heal();
		return awaitConvergenceAndReport(fleet, removals);
	}

	// Crashes every node whose index is a multiple of the step, or only the first node if
	// the step is 1.
	private ObjectNode crashEvery(int step) {
		MembershipFleet fleet = startFleet();
		List<FleetNode> victims = new ArrayList<>();
		for (int node = 0; node < this.layout.nodes() && (step > 1 || victims.isEmpty()); node += step) {
			victims.add(fleet.node(node));
			fleet.recorder().recordCrash(fleet.node(node).id(), fleet.time().nanoseconds());
		}
		victims.forEach(fleet::crash);
		long detected = fleet.awaitConvergence(CONVERGENCE_LIMIT_NANOSECONDS);
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		result.put("crashed", victims.size());
		result.put("seenByAllSeconds", (detected < 0) ? -1 : (double) detected / SECOND);
		result.put("removalsOfRunningNodes", fleet.recorder().falseRemovals());
		return result;
	}

	// Half of the VMs leave and the others crash. Each is replaced immediately, under a
	// new id.
	private ObjectNode rollingReplacement() {
		MembershipFleet fleet = startFleet();
		for (int node = 0; node < this.layout.nodes(); node++) {
			FleetNode old = fleet.node(node);
			if (node % 2 == 0) {
				fleet.recorder().ignoreRemovals(old.id());
				fleet.leave(old);
			}
			else {
				fleet.recorder().recordCrash(old.id(), fleet.time().nanoseconds());
				fleet.crash(old);
			}
			fleet.start(node, "replacement-" + node, 1);
			advance(fleet, 1);
		}
		ObjectNode result = awaitConvergenceAndReport(fleet, fleet.recorder().falseRemovals());
		result.put("staleEntries", staleEntries(fleet));
		return result;
	}

	private ObjectNode failureDomainReplacement() {
		MembershipFleet fleet = startFleet();
		for (int node = 0; node < this.layout.nodes(); node += this.layout.failureDomains()) {
			FleetNode old = fleet.node(node);
			fleet.recorder().recordCrash(old.id(), fleet.time().nanoseconds());
			fleet.crash(old);
			fleet.start(node, "replacement-" + node, 1);
		}
		ObjectNode result = awaitConvergenceAndReport(fleet, fleet.recorder().falseRemovals());
		long replaced = fleet.running().stream().filter((node) -> !node.id().value().startsWith("node-")).count();
		long expected = (this.layout.nodes() - replaced) * fleet.running().size();
		result.put("staleEntries", staleEntries(fleet) - expected);
		return result;
	}

	private double drainingSeconds() {
		MembershipFleet fleet = startFleet();
		FleetNode leaving = fleet.node(0);
		leaving.controller.announce(this.layout.member(0, leaving.id().value(), 1, MemberState.DRAINING));
		long start = fleet.time().nanoseconds();
		while (fleet.time().nanoseconds() - start < CONVERGENCE_LIMIT_NANOSECONDS && !allListDraining(fleet, leaving)) {
			fleet.time().runUntil(fleet.time().nanoseconds() + SECOND / 20);
		}
		return (double) (fleet.time().nanoseconds() - start) / SECOND;
	}

	private static boolean allListDraining(MembershipFleet fleet, FleetNode leaving) {
		return fleet.running()
			.stream()
			.allMatch((node) -> node.controller.members()
				.stream()
				.anyMatch((member) -> member.id().equals(leaving.id()) && member.state() == MemberState.DRAINING));
	}

	private static long staleEntries(MembershipFleet fleet) {
		return fleet.running()
			.stream()
			.mapToLong((node) -> node.controller.members()
				.stream()
				.filter((member) -> member.id().value().startsWith("node-"))
				.count())
			.sum();
	}

}
