package org.wasabicart.node;

import java.io.IOException;

import org.jboss.logging.Logger;

import org.wasabicart.node.observe.LogSetup;
import org.wasabicart.node.settings.LogFormat;
import org.wasabicart.node.settings.NodeSettings;
import org.wasabicart.node.settings.SettingsException;
import org.wasabicart.node.settings.SettingsReader;

/**
 * Entry point of the node process.
 */
public final class NodeMain {

	private static final Logger LOGGER = Logger.getLogger(NodeMain.class);

	private static final int EXIT_FAILURE = 1;

	private NodeMain() {
	}

	/**
	 * Runs a node until the process receives SIGTERM or SIGINT.
	 * @param arguments flags; see {@code --help}
	 */
	public static void main(String[] arguments) {
		// Applies until the settings are read. Without it, libraries log at debug level.
		LogSetup.apply(LogFormat.KEY_VALUE, "INFO");
		if (SettingsReader.asksForHelp(arguments)) {
			System.out.print(SettingsReader.help());
			return;
		}
		try {
			run(new SettingsReader(System.getenv()).read(arguments));
		}
		catch (SettingsException ex) {
			ex.findings().forEach(System.err::println);
			System.exit(EXIT_FAILURE);
		}
		catch (IOException ex) {
			LOGGER.errorf(ex, "event=start-failed");
			System.exit(EXIT_FAILURE);
		}
	}

	private static void run(NodeSettings settings) throws IOException {
		LogSetup.apply(settings.logFormat(), settings.logLevel());
		Node node = NodeAssembly.assemble(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(node::close, "stop"));
		node.start();
	}

}
