package org.wasabicart.standin.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * One request in a backend server, waiting, running or ended.
 */
final class Run {

	private final long id;

	private final String service;

	private final String server;

	private final RunRequest request;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private final List<Future<?>> activities = new ArrayList<>();

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
	 * @param recorder records the start; runs before the run can end
	 * @return whether the run may start
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
	 * Ends the run and stops its activities.
	 * @return the state before; ENDED if another thread has ended it
	 */
	synchronized State end() {
		State before = this.state;
		this.state = State.ENDED;
		// Cancelling a nested call completes it, which ends the run again from within.
		List<Future<?>> ended = List.copyOf(this.activities);
		this.activities.clear();
		ended.forEach((activity) -> activity.cancel(true));
		return before;
	}

	/**
	 * Adds a timer or nested call that ends with the run.
	 * @param activity activity
	 */
	synchronized void add(Future<?> activity) {
		if (this.state == State.ENDED) {
			activity.cancel(true);
		}
		else {
			this.activities.add(activity);
		}
	}

	/**
	 * State of a run.
	 */
	enum State {

		WAITING, RUNNING, ENDED

	}

}
