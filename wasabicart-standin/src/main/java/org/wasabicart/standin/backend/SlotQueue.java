package org.wasabicart.standin.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Slots of a backend server and the queue of the runs that wait for one, in order of
 * arrival.
 */
final class SlotQueue {

	private final int slots;

	private final int connections;

	private final Consumer<Run> starter;

	private final Deque<Run> waiting = new ArrayDeque<>();

	private int running;

	SlotQueue(int slots, int connections, Consumer<Run> starter) {
		this.slots = slots;
		this.connections = connections;
		this.starter = starter;
	}

	/**
	 * Starts a run if a slot is free, otherwise queues it.
	 * @param run run
	 * @return false if as many runs are running or waiting as there are connections
	 */
	boolean offer(Run run) {
		synchronized (this) {
			if (this.running + this.waiting.size() >= this.connections) {
				return false;
			}
			if (this.running >= this.slots) {
				this.waiting.add(run);
				return true;
			}
			this.running++;
		}
		this.starter.accept(run);
		return true;
	}

	synchronized boolean removeWaiting(Run run) {
		return this.waiting.remove(run);
	}

	/**
	 * Frees a slot and starts the next waiting run in it, if there is one.
	 */
	void release() {
		Run next;
		synchronized (this) {
			next = this.waiting.poll();
			if (next == null) {
				this.running--;
			}
		}
		if (next != null) {
			this.starter.accept(next);
		}
	}

	synchronized int running() {
		return this.running;
	}

	synchronized int waiting() {
		return this.waiting.size();
	}

}
