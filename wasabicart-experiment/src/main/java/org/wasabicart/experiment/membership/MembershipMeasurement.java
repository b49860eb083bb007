package org.wasabicart.experiment.membership;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.core.membership.MembershipSettings;
import org.wasabicart.core.model.NodeId;

/**
 * Measures detection and dissemination of crashes, false removals and the cost of
 * membership at one size of the fleet.
 */
final class MembershipMeasurement {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long CONVERGENCE_LIMIT_NANOSECONDS = 120 * SECOND;

	private static final int STEADY_SECONDS = 30;

	/** A crashed node is observed for this long and then restarts. */
	private static final int OBSERVATION_SECONDS = 15;

	/**
	 * One in this many nodes is down at a time; up to nearly twice as many, since the
	 * interval is rounded down to whole seconds, and fewer in fleets of over 300 nodes.
	 */
	private static final int NODES_PER_CRASHED_NODE = 20;

	private final MembershipFleet fleet;

	private final int crashes;

	private final int crashIntervalSeconds;

	private final List<Double> removalSeconds = new ArrayList<>();

	private int crashesNotSeenByAll;

	MembershipMeasurement(int nodes, double loss, int crashes, long seed) {
		this.fleet = new MembershipFleet(FleetLayout.ofSize(nodes), MembershipSettings.defaults(), seed);
		this.fleet.conditions().loss(loss);
		this.crashes = crashes;
		this.crashIntervalSeconds = Math.max(1, OBSERVATION_SECONDS * NODES_PER_CRASHED_NODE / nodes);
	}

	JsonNode measure() {
		int nodes = this.fleet.layout().nodes();
		long heapBefore = usedHeap();
		this.fleet.startAll(10 * SECOND);
		this.fleet.time().runUntil(10 * SECOND);
		long joined = this.fleet.awaitConvergence(CONVERGENCE_LIMIT_NANOSECONDS);
		this.fleet.time().runUntil(this.fleet.time().nanoseconds() + 10 * SECOND);
		long stateBytes = Math.max(0, usedHeap() - heapBefore) / nodes;
		this.fleet.startRecording();
		Cost steady = cost(() -> this.fleet.time().runUntil(this.fleet.time().nanoseconds() + STEADY_SECONDS * SECOND));
		int churnSeconds = this.crashes * this.crashIntervalSeconds;
		Cost churn = cost(() -> crashAndRestart(churnSeconds));
		this.fleet.time().runUntil(this.fleet.time().nanoseconds() + OBSERVATION_SECONDS * SECOND);
		long convergedAfterwards = this.fleet.awaitConvergence(CONVERGENCE_LIMIT_NANOSECONDS);
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		report.put("nodes", nodes);
		report.put("loss", this.fleet.conditions().loss());
		report.put("joinSeconds", seconds(joined));
		report.put("crashes", this.removalSeconds.size());
		report.put("crashesNotSeenByAll", this.crashesNotSeenByAll);
		report.put("detectAndSpreadMedianSeconds", Quantiles.of(this.removalSeconds, 0.5));
		report.put("detectAndSpreadP99Seconds", Quantiles.of(this.removalSeconds, 0.99));
		report.put("detectAndSpreadMaximumSeconds", Quantiles.of(this.removalSeconds, 1));
		report.put("falseRemovals", this.fleet.recorder().falseRemovals());
		report.put("nodeSeconds", (long) nodes * (STEADY_SECONDS + churnSeconds));
		// Counts each byte at its sender and at its receiver.
		report.put("bytesPerSecondPerNode", steady.perNodeSecond(2.0 * steady.bytes, nodes, STEADY_SECONDS));
		report.put("sentBytesPerSecondPerNode", steady.perNodeSecond(steady.bytes, nodes, STEADY_SECONDS));
		report.put("messagesPerSecondPerNode", steady.perNodeSecond(steady.messages, nodes, STEADY_SECONDS));
		report.put("coreSharePerNode", steady.perNodeSecond(steady.cpuNanoseconds, nodes, STEADY_SECONDS) / SECOND);
		report.put("crossRegionBytesPerSecond", (double) steady.crossRegionBytes / STEADY_SECONDS);
		double steadyBytes = (double) steady.bytes * churnSeconds / STEADY_SECONDS;
		report.put("sentBytesPerReplacementPerNode", (churn.bytes - steadyBytes) / this.crashes / nodes);
		report.put("churnSentBytesPerSecondPerNode", churn.perNodeSecond(churn.bytes, nodes, churnSeconds));
		report.put("churnCoreSharePerNode", churn.perNodeSecond(churn.cpuNanoseconds, nodes, churnSeconds) / SECOND);
		report.put("stateBytesPerNode", stateBytes);
		report.put("largestDatagramBytes", this.fleet.largestDatagram());
		report.put("convergedAfterwardsSeconds", seconds(convergedAfterwards));
		return report;
	}

	private void crashAndRestart(int seconds) {
		for (int second = 0; second < seconds; second += this.crashIntervalSeconds) {
			List<FleetNode> running = this.fleet.running();
			FleetNode victim = running.get(this.fleet.random().nextInt(running.size()));
			long now = this.fleet.time().nanoseconds();
			this.fleet.recorder().recordCrash(victim.id(), now);
			this.fleet.crash(victim);
			this.fleet.time().schedule(now + OBSERVATION_SECONDS * SECOND, () -> endObservation(victim));
			this.fleet.time().runUntil(now + this.crashIntervalSeconds * SECOND);
		}
	}

	// Checks the views instead of counting removals, since a node that crashed or
	// restarted meanwhile does not remove the victim itself.
	private void endObservation(FleetNode victim) {
		NodeId id = victim.id();
		boolean seenByAll = this.fleet.running().stream().noneMatch((node) -> node.hasInView(id));
		if (seenByAll) {
			this.removalSeconds.add(seconds(this.fleet.recorder().lastRemovalDelayNanoseconds(id)));
		}
		else {
			this.crashesNotSeenByAll++;
		}
		this.fleet.recorder().recordRestart(id);
		this.fleet.start(victim.index, id.value(), victim.local.instance().value() + 1);
	}

	private Cost cost(Runnable action) {
		Cost before = snapshot();
		action.run();
		Cost after = snapshot();
		return new Cost(after.bytes - before.bytes, after.messages - before.messages,
				after.crossRegionBytes - before.crossRegionBytes, after.cpuNanoseconds - before.cpuNanoseconds);
	}

	private Cost snapshot() {
		return new Cost(this.fleet.sentBytes(), this.fleet.sentMessages(), this.fleet.crossRegionBytes(),
				ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime());
	}

	private static double seconds(long nanoseconds) {
		return (double) nanoseconds / SECOND;
	}

	private static long usedHeap() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

	/**
	 * Cost of an interval for the whole fleet.
	 *
	 * @param bytes bytes sent, with headers
	 * @param messages messages sent
	 * @param crossRegionBytes bytes sent to another region
	 * @param cpuNanoseconds processor time, that of the in-process transport included
	 */
	private record Cost(long bytes, long messages, long crossRegionBytes, long cpuNanoseconds) {

		double perNodeSecond(double total, int nodes, int seconds) {
			return total / nodes / seconds;
		}

	}

}
