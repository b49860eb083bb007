package org.wasabicart.experiment.orders;

import java.io.IOException;
import java.io.PrintStream;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.wasabicart.experiment.harness.DeployedNode;
import org.wasabicart.experiment.harness.Deployment;
import org.wasabicart.experiment.harness.ManagedProcess;
import org.wasabicart.experiment.harness.ProcessSignal;

/**
 * Injects the faults of a schedule into a running deployment. A fault of a node that
 * still has an earlier one is skipped; faults of different nodes and of the store can
 * overlap.
 */
final class FaultInjector implements AutoCloseable {

	private static final double MILLISECONDS_PER_SECOND = 1e3;

	private static final long EXIT_TIMEOUT_SECONDS = 25;

	private static final long FAULTS_TIMEOUT_SECONDS = 30;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8);

	private final Set<Integer> faultyNodes = new HashSet<>();

	private final Deployment deployment;

	private final PrintStream output;

	private int injected;

	FaultInjector(Deployment deployment, PrintStream output) {
		this.deployment = deployment;
		this.output = output;
	}

	void start(List<PlannedFault> faults) {
		for (PlannedFault fault : faults) {
			this.timer.schedule(() -> {
				inject(fault);
				return null;
			}, Math.round(fault.startSeconds() * MILLISECONDS_PER_SECOND), TimeUnit.MILLISECONDS);
		}
	}

	private void inject(PlannedFault fault) throws IOException, InterruptedException {
		boolean store = fault.kind() == FaultKind.STORE_DOWN || fault.kind() == FaultKind.STORE_RESPONSES_LOST;
		if (!store && !markFaulty(fault.node())) {
			return;
		}
		recordInjection(fault);
		try {
			if (store) {
				injectStoreFault(fault);
			}
			else {
				injectNodeFault(fault, this.deployment.nodes().get(fault.node()));
			}
		}
		finally {
			clearFaulty(fault.node(), store);
		}
	}

	private synchronized boolean markFaulty(int node) {
		return this.faultyNodes.add(node);
	}

	private synchronized void clearFaulty(int node, boolean store) {
		if (!store) {
			this.faultyNodes.remove(node);
		}
	}

	private synchronized void recordInjection(PlannedFault fault) {
		this.injected++;
		this.output.printf("%5.1f s %s node %d for %.1f s%n", fault.startSeconds(),
				fault.kind().name().toLowerCase(Locale.ROOT), fault.node(), fault.durationSeconds());
	}

	synchronized int injected() {
		return this.injected;
	}

	private void injectNodeFault(PlannedFault fault, DeployedNode node) throws IOException, InterruptedException {
		ManagedProcess process = this.deployment.process(node.name());
		switch (fault.kind()) {
			case NODE_PAUSED -> {
				process.signal(ProcessSignal.STOP);
				waitForDuration(fault);
				process.signal(ProcessSignal.CONT);
			}
			case NODE_DRAINED -> {
				process.signal(ProcessSignal.TERM);
				process.awaitExit(EXIT_TIMEOUT_SECONDS);
				this.deployment.startNode(node);
			}
			default -> {
				process.signal(ProcessSignal.KILL);
				process.awaitExit(EXIT_TIMEOUT_SECONDS);
				waitForDuration(fault);
				this.deployment.startNode(node);
			}
		}
	}

	private void injectStoreFault(PlannedFault fault) throws IOException, InterruptedException {
		String faults = (fault.kind() == FaultKind.STORE_DOWN) ? "{\"down\":true}" : "{\"loseWriteResponses\":1000}";
		this.deployment.httpControl().post(this.deployment.storeUrl() + "/standin/faults", faults);
		waitForDuration(fault);
		this.deployment.httpControl()
			.post(this.deployment.storeUrl() + "/standin/faults", "{\"down\":false,\"loseWriteResponses\":0}");
	}

	private static void waitForDuration(PlannedFault fault) throws InterruptedException {
		Thread.sleep(Math.round(fault.durationSeconds() * MILLISECONDS_PER_SECOND));
	}

	/**
	 * Waits until the faults of the schedule have ended, up to a timeout.
	 * @throws InterruptedException if interrupted
	 */
	void awaitFaults() throws InterruptedException {
		this.timer.shutdown();
		this.timer.awaitTermination(FAULTS_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

}
