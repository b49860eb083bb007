package org.wasabicart.command;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.apache.pekko.actor.ActorSystem;

import org.wasabicart.store.ConfigurationPublisher;
import org.wasabicart.store.HttpStoreClient;
import org.wasabicart.store.PublishedConfiguration;
import org.wasabicart.store.StoreClient;
import org.wasabicart.store.StoreException;

/**
 * Access to the store for the length of one command.
 */
final class StoreAccess implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private static final String VARIABLE = "WASABICART_STORE";

	private final ActorSystem system;

	private final StoreClient client;

	private StoreAccess(List<URI> endpoints) {
		Config config = ConfigFactory.parseString("pekko.daemonic = on, pekko.loglevel = OFF, "
				+ "pekko.stdout-loglevel = OFF, pekko.log-dead-letters = off");
		this.system = ActorSystem.create("command", config.withFallback(ConfigFactory.load()));
		this.client = new HttpStoreClient(this.system, endpoints, TIMEOUT);
	}

	static void declare(OptionParser parser) {
		parser.accepts("store", "URL of the store; may be given more than once; also " + VARIABLE)
			.withRequiredArg()
			.describedAs("URL");
	}

	static StoreAccess open(OptionSet options) throws CommandException {
		List<URI> endpoints = new ArrayList<>();
		try {
			for (Object value : options.valuesOf("store")) {
				endpoints.add(URI.create(String.valueOf(value)));
			}
			String variable = System.getenv(VARIABLE);
			if (endpoints.isEmpty() && variable != null) {
				for (String value : variable.split(",")) {
					endpoints.add(URI.create(value.strip()));
				}
			}
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitCode.USAGE, "--store: " + ex.getMessage());
		}
		if (endpoints.isEmpty()) {
			throw new CommandException(ExitCode.USAGE, "Name the store with --store URL or " + VARIABLE);
		}
		return new StoreAccess(endpoints);
	}

	ConfigurationPublisher publisher() {
		return new ConfigurationPublisher(this.client);
	}

	PublishedConfiguration current() throws CommandException, InterruptedException {
		try {
			Optional<PublishedConfiguration> current = publisher().current();
			return current
				.orElseThrow(() -> new CommandException(ExitCode.REFUSED, "The store holds no configuration yet"));
		}
		catch (StoreException ex) {
			throw new CommandException(ExitCode.UNKNOWN, "The store cannot be read: " + ex.getMessage());
		}
	}

	@Override
	public void close() {
		this.client.close();
		this.system.terminate();
	}

}
