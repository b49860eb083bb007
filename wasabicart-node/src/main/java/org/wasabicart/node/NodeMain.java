package org.wasabicart.node;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.node.baseline.CountingAllowance;
import org.wasabicart.node.baseline.FixedLimitAdmission;
import org.wasabicart.node.baseline.NoEarlyRefusal;
import org.wasabicart.node.baseline.RandomRouter;
import org.wasabicart.node.baseline.UnlimitedRetryBudget;
import org.wasabicart.node.settings.ControlMode;
import org.wasabicart.node.settings.NodeSettings;
import org.wasabicart.node.settings.SettingsException;
import org.wasabicart.node.settings.SettingsReader;

/**
 * Entry point of the node process.
 */
public final class NodeMain {

	private static final Logger LOGGER = Logger.getLogger(NodeMain.class);

	private static final int EXIT_FINDING = 1;

	private static final int QUEUE_PER_SLOT = 10;

	private NodeMain() {
	}

	/**
	 * Runs a node until the process receives SIGTERM or SIGINT.
	 * @param arguments flags; see {@code --help}
	 */
	public static void main(String[] arguments) {
		if (SettingsReader.asksForHelp(arguments)) {
			System.out.print(SettingsReader.help());
			return;
		}
		try {
			run(new SettingsReader(System.getenv()).read(arguments));
		}
		catch (SettingsException ex) {
			ex.findings().forEach(System.err::println);
			System.exit(EXIT_FINDING);
		}
		catch (IOException ex) {
			LOGGER.errorf("event=start-failed reason=%s", ex.getMessage());
			System.exit(EXIT_FINDING);
		}
	}

	private static void run(NodeSettings settings) throws IOException {
		Node node = compose(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(node::close, "stop"));
		node.start();
	}

	/**
	 * Composes the node of a process.
	 * @param settings settings
	 * @return the node, not started
	 */
	static Node compose(NodeSettings settings) {
		Ticker ticker = System::nanoTime;
		RandomGenerator random = new SecureRandom();
		ConfigurationHolder configuration = new ConfigurationHolder();
		LocalServerHolder localServer = new LocalServerHolder(ticker);
		NodeParts parts = new NodeParts(settings, new InstanceNumber(System.currentTimeMillis()), ticker, random,
				configuration, localServer, decisions(settings, ticker, random), List.of(), List.of());
		return new Node(parts);
	}

	private static Decisions decisions(NodeSettings settings, Ticker ticker, RandomGenerator random) {
		boolean limited = settings.control() != ControlMode.NONE;
		return new Decisions(
				(policy, previous) -> limited
						? new FixedLimitAdmission(ticker, policy.slots(), QUEUE_PER_SLOT * policy.slots())
						: FixedLimitAdmission.unlimited(ticker),
				new RandomRouter(settings.failureDomain(), random), new NoEarlyRefusal(), CountingAllowance::new,
				(service) -> new UnlimitedRetryBudget());
	}

}
