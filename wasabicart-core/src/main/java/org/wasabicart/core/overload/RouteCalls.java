package org.wasabicart.core.overload;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Learns at the node beside a server which nested calls the requests of each route make.
 * Nested calls name no parent. Each call is attributed to the routes whose requests run
 * at the server at that time, in proportion to the calls that each was found to make in
 * the time that its requests ran (expectation maximization for a mixture of Poisson
 * processes). A request during which no call was made shows that its route needs none.
 */
final class RouteCalls {

	/** Calls for each request from which a route is taken to make the calls. */
	private static final double MINIMUM_CALLS = 0.5;

	/**
	 * Share of the requests during which no such call was made, from which the route is
	 * known not to make it. Routes that make a call in few of their requests count as not
	 * making it.
	 */
	private static final double MAXIMUM_WITHOUT_CALL = 0.1;

	/** Requests of a route below which nothing is known about it. */
	private static final double MINIMUM_REQUESTS = 5;

	/** Requests of a route after which its counts are halved, to follow changes. */
	private static final double HALVED_AFTER = 4000;

	/** Running time in seconds, and calls, that are assumed before any is observed. */
	private static final double PRIOR_SECONDS = 0.1;

	private static final double PRIOR_CALLS = 0.1;

	private final Map<String, RouteState> routes = new HashMap<>();

	private final Map<String, Long> lastCalls = new HashMap<>();

	void started(String route, long now) {
		RouteState state = this.routes.computeIfAbsent(route, (name) -> new RouteState());
		state.advance(now);
		state.running++;
	}

	void ended(String route, long started, long now) {
		RouteState state = this.routes.get(route);
		if (state == null) {
			return;
		}
		state.advance(now);
		state.running = Math.max(0, state.running - 1);
		state.requests++;
		this.lastCalls.forEach((called, time) -> {
			if (time - started < 0) {
				state.withoutCall.merge(called, 1.0, Double::sum);
			}
		});
		if (state.requests >= HALVED_AFTER) {
			state.halve();
		}
	}

	/**
	 * Records a nested call.
	 * @param called route of the call
	 * @param now current time in nanoseconds
	 */
	void called(String called, long now) {
		this.lastCalls.put(called, now);
		double total = 0;
		for (RouteState state : this.routes.values()) {
			state.advance(now);
			total += state.running * state.rate(called);
		}
		if (total <= 0) {
			return;
		}
		for (RouteState state : this.routes.values()) {
			if (state.running > 0) {
				state.calls.merge(called, state.running * state.rate(called) / total, Double::sum);
			}
		}
	}

	/**
	 * Returns the routes that the requests of a route call.
	 * @param route name of the route
	 * @return names of the called routes
	 */
	Set<String> called(String route) {
		Set<String> called = new HashSet<>();
		RouteState state = this.routes.get(route);
		if (state != null && state.requests >= MINIMUM_REQUESTS) {
			state.calls.forEach((name, count) -> {
				if (count >= MINIMUM_CALLS * state.requests
						&& state.withoutCall.getOrDefault(name, 0.0) < MAXIMUM_WITHOUT_CALL * state.requests) {
					called.add(name);
				}
			});
		}
		return called;
	}

	private static final class RouteState {

		private final Map<String, Double> calls = new HashMap<>();

		private final Map<String, Double> withoutCall = new HashMap<>();

		private int running;

		private double requests;

		private double seconds;

		private long updated;

		void advance(long now) {
			this.seconds += this.running * Math.max(0, now - this.updated) / 1e9;
			this.updated = now;
		}

		double rate(String called) {
			return (this.calls.getOrDefault(called, 0.0) + PRIOR_CALLS) / (this.seconds + PRIOR_SECONDS);
		}

		void halve() {
			this.requests /= 2;
			this.seconds /= 2;
			this.calls.replaceAll((name, count) -> count / 2);
			this.withoutCall.replaceAll((name, count) -> count / 2);
		}

	}

}
