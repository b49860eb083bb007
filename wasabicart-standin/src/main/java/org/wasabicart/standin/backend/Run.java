package org.wasabicart.standin.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Execution of one request by a backend server, from its arrival to its end.
 */
final class Run {

	private final long id;

	private final String service;

	private final String server;

	private final RunRequest request;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private final List<Future<?>> tasks = new ArrayList<>();

	private State state = State.WAITING;

	private long serviceMicroseconds;

	Run(long id, String service, String server, RunRequest request) {
		this.id = id;
		this.service = service;
		this.server = server;
		this.request = request;
	}

	long id() {
		return this.id;
	}

	String service() {
		return this.service;
	}

	String server() {
		return this.server;
	}

	RunRequest request() {
		return this.request;
	}

	String root() {
		return this.request.root();
	}

	String kind() {
		return this.request.kind();
	}

	String ticket() {
		return this.request.ticket();
	}

	String path() {
		return this.request.path();
	}

	CompletableFuture<HttpResponse> response() {
		return this.response;
	}

	long serviceMicroseconds() {
		return this.serviceMicroseconds;
	}

	/**
	 * Moves from waiting to running.
	 * @param microseconds service time
	 * @param recorder records the start; called under the lock, so before the run can end
	 * @return false if the run has already left the waiting state
	 */
	synchronized boolean start(long microseconds, Runnable recorder) {
		if (this.state != State.WAITING) {
			return false;
		}
		this.state = State.RUNNING;
		this.serviceMicroseconds = microseconds;
		recorder.run();
		return true;
	}

	/**
	 * Ends the run and cancels its timers and nested calls.
	 * @return the previous state; {@code ENDED} if the run had already ended
	 */
	synchronized State end() {
		State before = this.state;
		this.state = State.ENDED;
		// Cancelling a nested call completes its future, which can call this method again
		// during the loop, so the loop iterates over a copy.
		List<Future<?>> cancelled = List.copyOf(this.tasks);
		this.tasks.clear();
		cancelled.forEach((task) -> task.cancel(true));
		return before;
	}

	/**
	 * Registers a timer or nested call to be cancelled when the run ends; cancels it at
	 * once if the run has ended.
	 * @param task timer or nested call
	 */
	synchronized void cancelAtEnd(Future<?> task) {
		if (this.state == State.ENDED) {
			task.cancel(true);
		}
		else {
			this.tasks.add(task);
		}
	}

	/**
	 * State of a run.
	 */
	enum State {

		WAITING, RUNNING, ENDED

	}

}
