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

	private static final long CONVERGENCE_LIMIT = 120 * SECOND;

	private static final int QUIET_SECONDS = 30;

	/** A crashed node is observed for this long and then restarts. */
	private static final int OBSERVATION_SECONDS = 15;

	/** At most one in this many nodes is down at a time. */
	private static final int NODES_PER_CRASHED_NODE = 20;

	private final MembershipFleet fleet;

	private final int crashes;

	private final int crashInterval;

	private final List<Double> spreadSeconds = new ArrayList<>();

	private int incomplete;

	MembershipMeasurement(int nodes, double loss, int crashes, long seed) {
		this.fleet = new MembershipFleet(FleetLayout.planned(nodes), MembershipSettings.defaults(), seed);
		this.fleet.conditions().loss(loss);
		this.crashes = crashes;
		this.crashInterval = Math.max(1, OBSERVATION_SECONDS * NODES_PER_CRASHED_NODE / nodes);
	}

	JsonNode measure() {
		int nodes = this.fleet.layout().nodes();
		long heapBefore = usedHeap();
		this.fleet.startAll(10 * SECOND);
		this.fleet.time().runUntil(10 * SECOND);
		long joined = this.fleet.awaitConvergence(CONVERGENCE_LIMIT);
		this.fleet.time().runUntil(this.fleet.time().nanoseconds() + 10 * SECOND);
		long stateBytes = Math.max(0, usedHeap() - heapBefore) / nodes;
		this.fleet.record();
		Cost quiet = cost(() -> this.fleet.time().runUntil(this.fleet.time().nanoseconds() + QUIET_SECONDS * SECOND));
		int churnSeconds = this.crashes * this.crashInterval;
		Cost churn = cost(() -> crashAndRestart(churnSeconds));
		this.fleet.time().runUntil(this.fleet.time().nanoseconds() + OBSERVATION_SECONDS * SECOND);
		long healed = this.fleet.awaitConvergence(CONVERGENCE_LIMIT);
		ObjectNode report = JsonNodeFactory.instance.objectNode();
		report.put("nodes", nodes);
		report.put("loss", this.fleet.conditions().loss());
		report.put("joinSeconds", seconds(joined));
		report.put("crashes", this.spreadSeconds.size());
		report.put("crashesNotSeenByAll", this.incomplete);
		report.put("detectAndSpreadMedianSeconds", Quantiles.of(this.spreadSeconds, 0.5));
		report.put("detectAndSpreadP99Seconds", Quantiles.of(this.spreadSeconds, 0.99));
		report.put("detectAndSpreadMaximumSeconds", Quantiles.of(this.spreadSeconds, 1));
		report.put("falseRemovals", this.fleet.recorder().falseRemovals());
		report.put("nodeSeconds", (long) nodes * (QUIET_SECONDS + churnSeconds));
		report.put("bytesPerSecondPerNode", quiet.perNodeSecond(2.0 * quiet.bytes, nodes, QUIET_SECONDS));
		report.put("sentBytesPerSecondPerNode", quiet.perNodeSecond(quiet.bytes, nodes, QUIET_SECONDS));
		report.put("messagesPerSecondPerNode", quiet.perNodeSecond(quiet.messages, nodes, QUIET_SECONDS));
		report.put("coreSharePerNode", quiet.perNodeSecond(quiet.cpuNanoseconds, nodes, QUIET_SECONDS) / SECOND);
		report.put("crossRegionBytesPerSecond", (double) quiet.crossRegionBytes / QUIET_SECONDS);
		double quietBytes = (double) quiet.bytes * churnSeconds / QUIET_SECONDS;
		report.put("sentBytesPerReplacementPerNode", (churn.bytes - quietBytes) / this.crashes / nodes);
		report.put("churnSentBytesPerSecondPerNode", churn.perNodeSecond(churn.bytes, nodes, churnSeconds));
		report.put("churnCoreSharePerNode", churn.perNodeSecond(churn.cpuNanoseconds, nodes, churnSeconds) / SECOND);
		report.put("stateBytesPerNode", stateBytes);
		report.put("largestDatagramBytes", this.fleet.largestDatagram());
		report.put("convergedAfterwardsSeconds", seconds(healed));
		return report;
	}

	private void crashAndRestart(int seconds) {
		for (int second = 0; second < seconds; second += this.crashInterval) {
			List<FleetNode> running = this.fleet.running();
			FleetNode victim = running.get(this.fleet.random().nextInt(running.size()));
			long now = this.fleet.time().nanoseconds();
			this.fleet.recorder().crashed(victim.id(), now);
			this.fleet.crash(victim);
			this.fleet.time().schedule(now + OBSERVATION_SECONDS * SECOND, () -> finish(victim));
			this.fleet.time().runUntil(now + this.crashInterval * SECOND);
		}
	}

	// Nodes that crashed or restarted meanwhile do not remove the victim themselves.
	private void finish(FleetNode victim) {
		NodeId id = victim.id();
		boolean seenByAll = this.fleet.running().stream().noneMatch((node) -> node.sees(id));
		if (seenByAll) {
			this.spreadSeconds.add(seconds(this.fleet.recorder().spreadNanoseconds(id)));
		}
		else {
			this.incomplete++;
		}
		this.fleet.recorder().restarted(id);
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
