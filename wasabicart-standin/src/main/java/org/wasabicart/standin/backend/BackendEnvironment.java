package org.wasabicart.standin.backend;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;

import org.apache.pekko.actor.ActorSystem;

import org.wasabicart.standin.http.StandinActorSystem;

/**
 * Threads, HTTP client and run history that the backend servers of one process share.
 */
public final class BackendEnvironment implements AutoCloseable {

	private static final int TIMER_THREADS = 2;

	private static final int CLIENT_THREADS = 3;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private final ActorSystem system = StandinActorSystem.create("backend");

	private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(TIMER_THREADS);

	private final ExecutorService clientThreads = Executors.newFixedThreadPool(CLIENT_THREADS);

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.executor(this.clientThreads)
		.build();

	private final RunHistory history;

	/**
	 * Creates the environment.
	 * @param history history to which all servers write their runs
	 */
	public BackendEnvironment(RunHistory history) {
		this.history = history;
		this.timer.setRemoveOnCancelPolicy(true);
	}

	ActorSystem system() {
		return this.system;
	}

	ScheduledThreadPoolExecutor timer() {
		return this.timer;
	}

	HttpClient client() {
		return this.client;
	}

	RunHistory history() {
		return this.history;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.clientThreads.shutdownNow();
		this.system.terminate();
		this.system.getWhenTerminated().toCompletableFuture().join();
	}

}
