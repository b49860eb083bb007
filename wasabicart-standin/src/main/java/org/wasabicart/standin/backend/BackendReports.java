package org.wasabicart.standin.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.http.javadsl.model.HttpResponse;

import org.wasabicart.standin.http.Json;

/**
 * Health and load endpoints, which can lag behind or report something else than the
 * actual figures.
 */
final class BackendReports {

	private static final long SAMPLE_MILLISECONDS = 100;

	private static final int SAMPLES_KEPT = 300;

	private final Deque<Sample> samples = new ArrayDeque<>();

	private final SlotQueue queue;

	private final BackendBehaviour behaviour;

	BackendReports(ScheduledExecutorService timer, SlotQueue queue, BackendBehaviour behaviour) {
		this.queue = queue;
		this.behaviour = behaviour;
		timer.scheduleAtFixedRate(this::sample, 0, SAMPLE_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	private synchronized void sample() {
		this.samples.addFirst(current());
		while (this.samples.size() > SAMPLES_KEPT) {
			this.samples.removeLast();
		}
	}

	private Sample current() {
		return new Sample(this.behaviour.state(), this.queue.running(), this.queue.waiting());
	}

	private synchronized Sample reported() {
		long behind = this.behaviour.faults().reportLagMilliseconds() / SAMPLE_MILLISECONDS;
		if (behind == 0 || this.samples.isEmpty()) {
			return current();
		}
		return this.samples.stream().skip(Math.min(behind, this.samples.size() - 1)).findFirst().orElseThrow();
	}

	HttpResponse health() {
		String fault = this.behaviour.faults().reportedHealth();
		String state = reported().state();
		boolean healthy = fault.equals("actual") ? state.equals("serving") : fault.equals("healthy");
		return Json.response(healthy ? 200 : 503, Json.object().put("state", state).put("healthy", healthy));
	}

	HttpResponse load() {
		Sample sample = reported();
		int fault = this.behaviour.faults().reportedRunning();
		return Json.response(200,
				Json.object().put("running", (fault >= 0) ? fault : sample.running()).put("waiting", sample.waiting()));
	}

	private record Sample(String state, int running, int waiting) {

	}

}
