package org.wasabicart.standin.http;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.ActorSystem;

/**
 * Creates the actor system in which a stand-in's HTTP servers run.
 */
public final class StandinActorSystem {

	private StandinActorSystem() {
	}

	/**
	 * Creates an actor system. Requests have no timeout, since an injected fault may
	 * delay a response for any time. A second request is read while the first runs, since
	 * a disconnect is noticed only while the connection is read.
	 * @param name name of the system
	 * @return the system, which the caller must terminate
	 */
	public static ActorSystem create(String name) {
		Config config = ConfigFactory.parseString("""
				pekko {
				  loggers = ["org.apache.pekko.event.slf4j.Slf4jLogger"]
				  logging-filter = "org.apache.pekko.event.slf4j.Slf4jLoggingFilter"
				  loglevel = "WARNING"
				  jvm-shutdown-hooks = off
				  coordinated-shutdown.run-by-jvm-shutdown-hook = off
				  actor.default-dispatcher.fork-join-executor.parallelism-max = 4
				  http.server.idle-timeout = infinite
				  http.server.request-timeout = infinite
				  http.server.pipelining-limit = 2
				  http.server.backlog = 1024
				  http.server.parsing.illegal-header-warnings = off
				}
				""").withFallback(ConfigFactory.load());
		return ActorSystem.create(name, config);
	}

}
