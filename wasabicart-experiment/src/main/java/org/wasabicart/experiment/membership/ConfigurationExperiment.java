package org.wasabicart.experiment.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;

import org.wasabicart.experiment.Experiment;
import org.wasabicart.experiment.ExperimentArguments;

/**
 * Measures how soon an accepted configuration is in force on all nodes, whether a node
 * reverts to an older revision and whether an accepted change is lost, while both owners
 * publish, the store fails, responses are lost, reads are stale and nodes restart.
 */
public final class ConfigurationExperiment implements Experiment {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long POLL_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long START_PERIOD_NANOSECONDS = 10 * SECOND;

	private static final long SETTLING_NANOSECONDS = 30 * SECOND;

	/** Longest time for which one change is observed. */
	private static final long OBSERVATION_LIMIT_NANOSECONDS = 60 * SECOND;

	private static final long PUBLISH_INTERVAL_NANOSECONDS = 6 * SECOND;

	private static final int CHANGES = 60;

	private static final int OUTAGE_AT_CHANGE = 20;

	private static final int OUTAGE_SECONDS = 180;

	private static final int STEADY_SECONDS = 120;

	private static final double LOST_RESPONSE_SHARE = 0.2;

	private static final double STALE_READ_SHARE = 0.2;

	private static final long RESTART_DELAY_NANOSECONDS = 3 * SECOND;

	/** A node is not expected to have a configuration until this time after its start. */
	private static final long JOIN_NANOSECONDS = 10 * SECOND;

	@Override
	public String name() {
		return "configuration";
	}

	@Override
	public String description() {
		return "time until a configuration is in force everywhere, with two owners and store faults";
	}

	@Override
	public void declareFlags(OptionParser parser) {
		parser.accepts("nodes", "Number of nodes").withRequiredArg().defaultsTo("80");
	}

	@Override
	public JsonNode run(ExperimentArguments arguments) throws Exception {
		return measure((int) arguments.number("nodes"), arguments.seed());
	}

	JsonNode measure(int nodes, long seed) throws Exception {
		ConfigurationFleet fleet = new ConfigurationFleet(FleetLayout.ofSize(nodes), seed);
		PublishingOwners owners = new PublishingOwners(fleet.store());
		owners.publishInitial();
		fleet.membership().startAll(START_PERIOD_NANOSECONDS);
		VirtualTime time = fleet.membership().time();
		time.runUntil(START_PERIOD_NANOSECONDS + SETTLING_NANOSECONDS);
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		report.put("nodes", nodes);
		report.put("configuredAfterStart", fleet.lowestRevision(time.nanoseconds()) > 0);
		measureSteadyState(fleet, report);
		fleet.store().setFaultShares(LOST_RESPONSE_SHARE, STALE_READ_SHARE);
		List<Double> inForceSeconds = new ArrayList<>();
		OutageMeasurement outage = new OutageMeasurement();
		for (int change = 0; change < CHANGES; change++) {
			if (change == OUTAGE_AT_CHANGE) {
				measureOutage(fleet, owners, outage);
			}
			restartRandomNode(fleet);
			publishAndObserve(fleet, owners, change, inForceSeconds);
		}
		time.runUntil(time.nanoseconds() + SETTLING_NANOSECONDS);
		report.put("changesAccepted", owners.accepted().size());
		report.put("changesUnknown", owners.unknown());
		report.put("changesNotWritten", owners.notWritten());
		report.put("inForceSecondsMedian", Quantiles.of(inForceSeconds, 0.5));
		report.put("inForceSecondsP99", Quantiles.of(inForceSeconds, 0.99));
		report.put("inForceSecondsMaximum", Quantiles.of(inForceSeconds, 1));
		report.put("inForceSecondsAfterOutage", outage.inForceSeconds);
		report.put("storeCallsPerSecondInOutage", outage.callsPerSecond);
		report.put("storeCallsInFirstSecondAfterOutage", outage.callsInFirstSecond);
		report.put("restartedWithoutStoreConfigured", outage.restartedConfigured);
		report.put("reverted", fleet.reversionCount());
		report.put("lostAccepted", owners.lostAccepted());
		report.put("pullsPerChangePerNode", (double) fleet.pulls() / owners.accepted().size() / nodes);
		report.put("pulledBytesPerChangePerNode", (double) fleet.pulledBytes() / owners.accepted().size() / nodes);
		report.put("pulledAcrossRegionsPerChange", (double) fleet.pulledAcrossRegions() / owners.accepted().size());
		return report;
	}

	private static void measureSteadyState(ConfigurationFleet fleet, ObjectNode report) {
		long calls = fleet.store().calls();
		VirtualTime time = fleet.membership().time();
		time.runUntil(time.nanoseconds() + STEADY_SECONDS * SECOND);
		report.put("storeCallsPerSecond", (double) (fleet.store().calls() - calls) / STEADY_SECONDS);
		report.put("pendingWatches", fleet.store().openWatches());
		report.put("contactEntries", fleet.store().list("/wasabicart/contacts/").size());
	}

	private static void publishAndObserve(ConfigurationFleet fleet, PublishingOwners owners, int change,
			List<Double> inForceSeconds) {
		VirtualTime time = fleet.membership().time();
		int before = owners.accepted().size();
		long start = time.nanoseconds();
		owners.publish(change % 2 == 0, change % 3 == 0);
		if (owners.accepted().size() > before) {
			inForceSeconds.add(secondsUntilInForce(fleet, highestRevision(owners, before)));
		}
		time.runUntil(Math.max(time.nanoseconds(), start + PUBLISH_INTERVAL_NANOSECONDS));
	}

	private static long highestRevision(PublishingOwners owners, int from) {
		return owners.accepted()
			.subList(from, owners.accepted().size())
			.stream()
			.mapToLong((accepted) -> accepted.revision().value())
			.max()
			.orElseThrow();
	}

	private static double secondsUntilInForce(ConfigurationFleet fleet, long revision) {
		VirtualTime time = fleet.membership().time();
		long start = time.nanoseconds();
		while (time.nanoseconds() - start < OBSERVATION_LIMIT_NANOSECONDS) {
			time.runUntil(time.nanoseconds() + POLL_INTERVAL_NANOSECONDS);
			if (fleet.lowestRevision(time.nanoseconds() - JOIN_NANOSECONDS) >= revision) {
				break;
			}
		}
		return (double) (time.nanoseconds() - start) / SECOND;
	}

	private static void measureOutage(ConfigurationFleet fleet, PublishingOwners owners, OutageMeasurement outage) {
		VirtualTime time = fleet.membership().time();
		long expected = fleet.lowestRevision(time.nanoseconds() - JOIN_NANOSECONDS);
		fleet.store().startOutage();
		long calls = fleet.store().calls();
		for (int second = 0; second < OUTAGE_SECONDS; second++) {
			if (second % 20 == 0) {
				restartRandomNode(fleet);
			}
			time.runUntil(time.nanoseconds() + SECOND);
		}
		outage.callsPerSecond = (double) (fleet.store().calls() - calls) / OUTAGE_SECONDS;
		outage.restartedConfigured = fleet.lowestRevision(time.nanoseconds() - JOIN_NANOSECONDS) >= expected;
		fleet.store().recover();
		calls = fleet.store().calls();
		int before = owners.accepted().size();
		while (owners.accepted().size() == before) {
			owners.publish(true, false);
		}
		long publishCalls = fleet.store().calls() - calls;
		long start = time.nanoseconds();
		time.runUntil(start + SECOND);
		outage.callsInFirstSecond = fleet.store().calls() - calls - publishCalls;
		secondsUntilInForce(fleet, highestRevision(owners, before));
		outage.inForceSeconds = (double) (time.nanoseconds() - start) / SECOND;
	}

	private static void restartRandomNode(ConfigurationFleet fleet) {
		MembershipFleet membership = fleet.membership();
		List<FleetNode> running = membership.running();
		FleetNode victim = running.get(membership.random().nextInt(running.size()));
		membership.crash(victim);
		membership.time()
			.schedule(membership.time().nanoseconds() + RESTART_DELAY_NANOSECONDS,
					() -> membership.start(victim.index, victim.id().value(), victim.local.instance().value() + 1));
	}

	private static final class OutageMeasurement {

		private double callsPerSecond;

		private long callsInFirstSecond;

		private double inForceSeconds;

		private boolean restartedConfigured;

	}

}
