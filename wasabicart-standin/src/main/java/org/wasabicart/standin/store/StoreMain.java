package org.wasabicart.standin.store;

import java.util.concurrent.CountDownLatch;

import joptsimple.OptionParser;
import joptsimple.OptionSpec;

import org.wasabicart.standin.http.Addresses;
import org.wasabicart.standin.http.ProgramFlags;

/**
 * Runs the store stand-in as a separate process until it is terminated.
 */
public final class StoreMain {

	private StoreMain() {
	}

	/**
	 * Starts the store and waits.
	 * @param arguments {@code --address IP:port}
	 * @throws Exception if the address cannot be bound
	 */
	public static void main(String[] arguments) throws Exception {
		OptionParser parser = new OptionParser();
		OptionSpec<String> address = parser.accepts("address", "IP:port to listen on")
			.withRequiredArg()
			.defaultsTo("127.0.0.1:2379");
		String listenAddress = ProgramFlags.parse(parser, arguments).valueOf(address);
		try (StoreStandin store = StoreStandin.start(Addresses.parse(listenAddress))) {
			System.out.println("ready " + store.url());
			new CountDownLatch(1).await();
		}
	}

}
