package org.wasabicart.standin.caller;

import java.net.http.HttpClient;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Open-loop load generator: sends each request at its scheduled time, whether or not
 * earlier ones were answered.
 */
public final class LoadGenerator implements AutoCloseable {

	private static final int CLIENT_THREADS = 4;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final long COMPLETION_TIMEOUT_SECONDS = 10;

	private final ExecutorService clientThreads = Executors.newFixedThreadPool(CLIENT_THREADS);

	private final ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);

	private final CallerClient client;

	private final CallerBehaviour behaviour;

	private final List<String> entryUrls;

	/**
	 * Creates a generator.
	 * @param entryUrls base URLs of the entry nodes
	 * @param tenant tenant of the callers
	 * @param behaviour how callers retry requests and reserve tickets
	 */
	public LoadGenerator(List<String> entryUrls, String tenant, CallerBehaviour behaviour) {
		this.entryUrls = List.copyOf(entryUrls);
		this.behaviour = behaviour;
		HttpClient http = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(CONNECT_TIMEOUT)
			.executor(this.clientThreads)
			.build();
		this.client = new CallerClient(http, tenant);
	}

	/**
	 * Sends all requests and waits until each has ended.
	 * @param arrivals requests, sorted by time
	 * @param listener receives the result of each request
	 * @return the results of all requests
	 * @throws InterruptedException if interrupted
	 */
	public LoadResult run(List<Arrival> arrivals, LoadListener listener) throws InterruptedException {
		Queue<CallerRecord> records = new ConcurrentLinkedQueue<>();
		CountDownLatch remaining = new CountDownLatch(arrivals.size());
		long start = System.nanoTime();
		long startMicroseconds = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
		long maximumLag = 0;
		for (Arrival arrival : arrivals) {
			long scheduled = start + arrival.offsetNanoseconds();
			waitUntil(scheduled);
			maximumLag = Math.max(maximumLag, System.nanoTime() - scheduled);
			new CallerRequest(this.client, this.behaviour, this.entryUrls, arrival, this.scheduler, scheduled,
					(record) -> {
						records.add(record);
						remaining.countDown();
						listener.requestEnded(record);
					})
				.start();
		}
		if (!remaining.await(COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
			throw new IllegalStateException(remaining.getCount() + " requests did not end");
		}
		return new LoadResult(List.copyOf(records), startMicroseconds, maximumLag);
	}

	private static void waitUntil(long scheduledNanoseconds) throws InterruptedException {
		long remainingNanoseconds = scheduledNanoseconds - System.nanoTime();
		while (remainingNanoseconds > 0) {
			if (Thread.interrupted()) {
				throw new InterruptedException();
			}
			LockSupport.parkNanos(remainingNanoseconds);
			remainingNanoseconds = scheduledNanoseconds - System.nanoTime();
		}
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
		this.clientThreads.shutdownNow();
	}

}
