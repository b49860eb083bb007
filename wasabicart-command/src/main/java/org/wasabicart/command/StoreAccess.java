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
 * Connection to the store for the duration of one command.
 */
final class StoreAccess implements AutoCloseable {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);

	private static final String ENVIRONMENT_VARIABLE = "WASABICART_STORE";

	private final ActorSystem system;

	private final StoreClient client;

	private StoreAccess(List<URI> endpoints) {
		Config config = ConfigFactory.parseString("pekko.daemonic = on, pekko.loglevel = OFF, "
				+ "pekko.stdout-loglevel = OFF, pekko.log-dead-letters = off");
		this.system = ActorSystem.create("command", config.withFallback(ConfigFactory.load()));
		this.client = new HttpStoreClient(this.system, endpoints, REQUEST_TIMEOUT);
	}

	static void declareFlag(OptionParser parser) {
		parser.accepts("store", "URL of the store; repeatable; also " + ENVIRONMENT_VARIABLE)
			.withRequiredArg()
			.describedAs("URL");
	}

	static StoreAccess open(OptionSet options) throws CommandException {
		List<URI> endpoints = new ArrayList<>();
		try {
			for (Object value : options.valuesOf("store")) {
				endpoints.add(URI.create(String.valueOf(value)));
			}
			String environmentValue = System.getenv(ENVIRONMENT_VARIABLE);
			if (endpoints.isEmpty() && environmentValue != null) {
				for (String value : environmentValue.split(",")) {
					endpoints.add(URI.create(value.strip()));
				}
			}
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitCode.USAGE, "--store: " + ex.getMessage());
		}
		if (endpoints.isEmpty()) {
			throw new CommandException(ExitCode.USAGE, "Specify the store with --store URL or " + ENVIRONMENT_VARIABLE);
		}
		return new StoreAccess(endpoints);
	}

	ConfigurationPublisher publisher() {
		return new ConfigurationPublisher(this.client);
	}

	PublishedConfiguration currentConfiguration() throws CommandException, InterruptedException {
		try {
			Optional<PublishedConfiguration> current = publisher().current();
			return current.orElseThrow(
					() -> new CommandException(ExitCode.REFUSED, "The store does not contain a configuration yet"));
		}
		catch (StoreException ex) {
			throw new CommandException(ExitCode.UNKNOWN,
					"Cannot read the configuration from the store: " + ex.getMessage());
		}
	}

	@Override
	public void close() {
		this.client.close();
		this.system.terminate();
	}

}
