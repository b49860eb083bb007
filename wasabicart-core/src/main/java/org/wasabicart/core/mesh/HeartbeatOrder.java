package org.wasabicart.core.mesh;

import java.util.Objects;

import org.wasabicart.core.model.ServiceName;

/**
 * Decides which heartbeats describe the server on a VM as it is now. They may arrive late
 * or come from another writer.
 */
public final class HeartbeatOrder {

	private final ServiceName service;

	private BackendIncarnation latest;

	private long latestSequence;

	/**
	 * Creates an order without heartbeats.
	 * @param service service that the server on this VM runs
	 */
	public HeartbeatOrder(ServiceName service) {
		this.service = Objects.requireNonNull(service, "service");
	}

	/**
	 * Compares a heartbeat with the ones before it. One that is
	 * {@link HeartbeatOutcome#CURRENT} becomes the latest.
	 * @param announced service that the heartbeat names
	 * @param incarnation run of the server
	 * @param sequence number of the heartbeat within the run
	 * @return the outcome
	 */
	public HeartbeatOutcome accept(ServiceName announced, BackendIncarnation incarnation, long sequence) {
		if (!announced.equals(this.service)) {
			return HeartbeatOutcome.OTHER_SERVICE;
		}
		HeartbeatOutcome outcome = compare(incarnation, sequence);
		if (outcome == HeartbeatOutcome.CURRENT) {
			this.latest = incarnation;
			this.latestSequence = sequence;
		}
		return outcome;
	}

	private HeartbeatOutcome compare(BackendIncarnation incarnation, long sequence) {
		if (this.latest == null || incarnation.born() > this.latest.born()) {
			return HeartbeatOutcome.CURRENT;
		}
		if (incarnation.born() < this.latest.born()) {
			return HeartbeatOutcome.EARLIER_RUN;
		}
		return (!incarnation.equals(this.latest) || sequence > this.latestSequence) ? HeartbeatOutcome.CURRENT
				: HeartbeatOutcome.OVERTAKEN;
	}

}
