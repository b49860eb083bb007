package org.wasabicart.standin.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.http.javadsl.model.HttpResponse;

import org.wasabicart.standin.http.Json;

/**
 * Responses of the health and load endpoints. Faults can make them lag behind or differ
 * from the actual figures.
 */
final class BackendReports {

	private static final long SAMPLE_INTERVAL_MILLISECONDS = 100;

	private static final int MAXIMUM_SAMPLES = 300;

	private final Deque<Sample> samples = new ArrayDeque<>();

	private final SlotQueue queue;

	private final BackendBehaviour behaviour;

	BackendReports(ScheduledExecutorService timer, SlotQueue queue, BackendBehaviour behaviour) {
		this.queue = queue;
		this.behaviour = behaviour;
		timer.scheduleAtFixedRate(this::recordSample, 0, SAMPLE_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	private synchronized void recordSample() {
		this.samples.addFirst(currentSample());
		while (this.samples.size() > MAXIMUM_SAMPLES) {
			this.samples.removeLast();
		}
	}

	private Sample currentSample() {
		return new Sample(this.behaviour.state(), this.queue.running(), this.queue.waiting());
	}

	private synchronized Sample reportedSample() {
		long lagSamples = this.behaviour.faults().reportLagMilliseconds() / SAMPLE_INTERVAL_MILLISECONDS;
		if (lagSamples == 0 || this.samples.isEmpty()) {
			return currentSample();
		}
		return this.samples.stream().skip(Math.min(lagSamples, this.samples.size() - 1)).findFirst().orElseThrow();
	}

	HttpResponse health() {
		String override = this.behaviour.faults().reportedHealth();
		String state = reportedSample().state();
		boolean healthy = override.equals("actual") ? state.equals("serving") : override.equals("healthy");
		return Json.response(healthy ? 200 : 503, Json.object().put("state", state).put("healthy", healthy));
	}

	HttpResponse load() {
		Sample sample = reportedSample();
		int override = this.behaviour.faults().reportedRunning();
		return Json.response(200,
				Json.object()
					.put("running", (override >= 0) ? override : sample.running())
					.put("waiting", sample.waiting()));
	}

	private record Sample(String state, int running, int waiting) {

	}

}
