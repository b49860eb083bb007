package org.wasabicart.standin.relay;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

import org.wasabicart.standin.http.Addresses;
import org.wasabicart.standin.http.Json;
import org.wasabicart.standin.http.ProgramFlags;

/**
 * Runs the network relay as a process until it is terminated.
 */
public final class RelayMain {

	private RelayMain() {
	}

	/**
	 * Starts the relay.
	 * @param arguments {@code --rules FILE --control-address IP:port}
	 * @throws Exception if an address cannot be bound
	 */
	public static void main(String[] arguments) throws Exception {
		OptionParser parser = new OptionParser();
		OptionSpec<String> rulesFile = parser
			.accepts("rules", "JSON file with the endpoints and the network properties")
			.withRequiredArg()
			.required();
		OptionSpec<String> address = parser.accepts("control-address", "IP:port of the HTTP control endpoints")
			.withRequiredArg()
			.defaultsTo("127.0.0.1:7500");
		OptionSet options = ProgramFlags.parse(parser, arguments);
		RelayRules rules = RelayRules.of(Json.parse(Files.readAllBytes(Path.of(options.valueOf(rulesFile)))));
		try (NetworkRelay relay = NetworkRelay.start(rules, Addresses.parse(options.valueOf(address)))) {
			System.out.println("ready " + Addresses.format(relay.controlAddress()));
			new CountDownLatch(1).await();
		}
	}

}
