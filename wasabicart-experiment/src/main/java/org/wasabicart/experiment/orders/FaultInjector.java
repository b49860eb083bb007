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
 * Produces the faults of a schedule in a running deployment. A node has one fault at a
 * time; faults of several nodes and of the store overlap.
 */
final class FaultInjector implements AutoCloseable {

	private static final double MILLISECONDS_PER_SECOND = 1e3;

	private static final long DRAIN_SECONDS = 25;

	private static final long STOP_SECONDS = 30;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8);

	private final Set<Integer> affected = new HashSet<>();

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
			}, Math.round(fault.atSeconds() * MILLISECONDS_PER_SECOND), TimeUnit.MILLISECONDS);
		}
	}

	private void inject(PlannedFault fault) throws IOException, InterruptedException {
		boolean store = fault.kind() == FaultKind.STORE_DOWN || fault.kind() == FaultKind.STORE_RESPONSES_LOST;
		if (!store && !begin(fault.node())) {
			return;
		}
		count(fault);
		try {
			if (store) {
				storeFault(fault);
			}
			else {
				nodeFault(fault, this.deployment.nodes().get(fault.node()));
			}
		}
		finally {
			end(fault.node(), store);
		}
	}

	private synchronized boolean begin(int node) {
		return this.affected.add(node);
	}

	private synchronized void end(int node, boolean store) {
		if (!store) {
			this.affected.remove(node);
		}
	}

	private synchronized void count(PlannedFault fault) {
		this.injected++;
		this.output.printf("%5.1f s %s node %d for %.1f s%n", fault.atSeconds(),
				fault.kind().name().toLowerCase(Locale.ROOT), fault.node(), fault.forSeconds());
	}

	synchronized int injected() {
		return this.injected;
	}

	private void nodeFault(PlannedFault fault, DeployedNode node) throws IOException, InterruptedException {
		ManagedProcess process = this.deployment.process(node.name());
		switch (fault.kind()) {
			case NODE_PAUSED -> {
				process.signal(ProcessSignal.STOP);
				pause(fault);
				process.signal(ProcessSignal.CONT);
			}
			case NODE_DRAINED -> {
				process.signal(ProcessSignal.TERM);
				process.awaitEnd(DRAIN_SECONDS);
				this.deployment.startNode(node);
			}
			default -> {
				process.signal(ProcessSignal.KILL);
				process.awaitEnd(DRAIN_SECONDS);
				pause(fault);
				this.deployment.startNode(node);
			}
		}
	}

	private void storeFault(PlannedFault fault) throws IOException, InterruptedException {
		String faults = (fault.kind() == FaultKind.STORE_DOWN) ? "{\"down\":true}" : "{\"loseWriteResponses\":1000}";
		this.deployment.control().post(this.deployment.storeUrl() + "/standin/faults", faults);
		pause(fault);
		this.deployment.control()
			.post(this.deployment.storeUrl() + "/standin/faults", "{\"down\":false,\"loseWriteResponses\":0}");
	}

	private static void pause(PlannedFault fault) throws InterruptedException {
		Thread.sleep(Math.round(fault.forSeconds() * MILLISECONDS_PER_SECOND));
	}

	/**
	 * Waits until the faults that have begun have ended.
	 * @throws InterruptedException if interrupted
	 */
	void finish() throws InterruptedException {
		this.timer.shutdown();
		this.timer.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

}
