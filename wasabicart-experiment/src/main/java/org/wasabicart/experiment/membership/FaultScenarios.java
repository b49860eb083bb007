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
 * Pauses, loss, partitions, crashes and replacements, each on a fresh fleet.
 */
final class FaultScenarios {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long LIMIT = 180 * SECOND;

	private final FleetLayout layout;

	private final long seed;

	FaultScenarios(FleetLayout layout, long seed) {
		this.layout = layout;
		this.seed = seed;
	}

	ObjectNode run() {
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		report.set("pauseOfTenPercent6Seconds", pauses(6));
		report.set("pauseOfTenPercent3Seconds", pauses(3));
		report.set("loss20Percent30Seconds", loss());
		report.set("failureDomainCut", partition((from, to) -> inFirst(from) != inFirst(to), 30));
		report.set("failureDomainCutOutbound", partition((from, to) -> inFirst(from) && !inFirst(to), 30));
		report.set("regionsCut", partition((from, to) -> this.layout.regionOf(from) != this.layout.regionOf(to), 300));
		report.set("oneCrash", crash(1));
		report.set("failureDomainCrash", crash(this.layout.failureDomains()));
		report.set("rollingReplacement", rollingReplacement());
		report.set("failureDomainReplacement", failureDomainReplacement());
		report.put("drainingSeenByAllSeconds", draining());
		return report;
	}

	private boolean inFirst(int node) {
		return this.layout.failureDomainOf(node) == 0;
	}

	private MembershipFleet started() {
		MembershipFleet fleet = new MembershipFleet(this.layout, MembershipSettings.defaults(), this.seed);
		fleet.startAll(5 * SECOND);
		advance(fleet, 5);
		fleet.awaitConvergence(LIMIT);
		advance(fleet, 15);
		fleet.record();
		return fleet;
	}

	private static void advance(MembershipFleet fleet, long seconds) {
		fleet.time().runUntil(fleet.time().nanoseconds() + seconds * SECOND);
	}

	private static ObjectNode result(MembershipFleet fleet, long removals) {
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		result.put("removalsOfRunningNodes", removals);
		long healed = fleet.awaitConvergence(LIMIT);
		result.put("healSeconds", (healed < 0) ? -1 : (double) healed / SECOND);
		return result;
	}

	private ObjectNode pauses(int seconds) {
		MembershipFleet fleet = started();
		for (int node = 0; node < this.layout.nodes(); node += 10) {
			fleet.pause(fleet.node(node), seconds * SECOND);
		}
		advance(fleet, seconds);
		advance(fleet, 2);
		return result(fleet, fleet.recorder().falseRemovals());
	}

	private ObjectNode loss() {
		MembershipFleet fleet = started();
		fleet.conditions().loss(0.2);
		advance(fleet, 30);
		fleet.conditions().loss(0);
		return result(fleet, fleet.recorder().falseRemovals());
	}

	private ObjectNode partition(BiPredicate<Integer, Integer> cut, int seconds) {
		MembershipFleet fleet = started();
		fleet.conditions().cut(cut);
		advance(fleet, seconds);
		long removals = fleet.recorder().falseRemovals();
		fleet.conditions().heal();
		return result(fleet, removals);
	}

	private ObjectNode crash(int step) {
		MembershipFleet fleet = started();
		List<FleetNode> victims = new ArrayList<>();
		for (int node = 0; node < this.layout.nodes() && (step > 1 || victims.isEmpty()); node += step) {
			victims.add(fleet.node(node));
			fleet.recorder().crashed(fleet.node(node).id(), fleet.time().nanoseconds());
		}
		victims.forEach(fleet::crash);
		long detected = fleet.awaitConvergence(LIMIT);
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		result.put("crashed", victims.size());
		result.put("seenByAllSeconds", (detected < 0) ? -1 : (double) detected / SECOND);
		result.put("removalsOfRunningNodes", fleet.recorder().falseRemovals());
		return result;
	}

	// Half of the VMs leave, the others crash; each is replaced under a new id at once.
	private ObjectNode rollingReplacement() {
		MembershipFleet fleet = started();
		for (int node = 0; node < this.layout.nodes(); node++) {
			FleetNode old = fleet.node(node);
			if (node % 2 == 0) {
				fleet.recorder().ignore(old.id());
				fleet.leave(old);
			}
			else {
				fleet.recorder().crashed(old.id(), fleet.time().nanoseconds());
				fleet.crash(old);
			}
			fleet.start(node, "replacement-" + node, 1);
			advance(fleet, 1);
		}
		ObjectNode result = result(fleet, fleet.recorder().falseRemovals());
		result.put("staleEntries", staleEntries(fleet));
		return result;
	}

	private ObjectNode failureDomainReplacement() {
		MembershipFleet fleet = started();
		for (int node = 0; node < this.layout.nodes(); node += this.layout.failureDomains()) {
			FleetNode old = fleet.node(node);
			fleet.recorder().crashed(old.id(), fleet.time().nanoseconds());
			fleet.crash(old);
			fleet.start(node, "replacement-" + node, 1);
		}
		ObjectNode result = result(fleet, fleet.recorder().falseRemovals());
		long replaced = fleet.running().stream().filter((node) -> !node.id().value().startsWith("node-")).count();
		long expected = (this.layout.nodes() - replaced) * fleet.running().size();
		result.put("staleEntries", staleEntries(fleet) - expected);
		return result;
	}

	private double draining() {
		MembershipFleet fleet = started();
		FleetNode leaving = fleet.node(0);
		leaving.controller.announce(this.layout.member(0, leaving.id().value(), 1, MemberState.DRAINING));
		long start = fleet.time().nanoseconds();
		while (fleet.time().nanoseconds() - start < LIMIT && !allSeeDraining(fleet, leaving)) {
			fleet.time().runUntil(fleet.time().nanoseconds() + SECOND / 20);
		}
		return (double) (fleet.time().nanoseconds() - start) / SECOND;
	}

	private static boolean allSeeDraining(MembershipFleet fleet, FleetNode leaving) {
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
