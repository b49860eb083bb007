package org.wasabicart.node.membership;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Executor;

import com.google.protobuf.ByteString;
import org.jboss.logging.Logger;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.adoption.PullSchedule;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.Revision;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Pulls newer configurations from peers over links, and answers the pull requests of
 * peers.
 */
final class ConfigurationPull {

	private static final Logger LOGGER = Logger.getLogger(ConfigurationPull.class);

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final ConfigurationAdopter adopter;

	private final PullSchedule schedule;

	private final PeerTransport transport;

	private final Executor executor;

	ConfigurationPull(ConfigurationAdopter adopter, PeerTransport transport, Ticker ticker, Executor executor) {
		this.adopter = adopter;
		this.schedule = new PullSchedule(adopter.adoption(), ticker);
		this.transport = transport;
		this.executor = executor;
	}

	void recordRevision(NodeAddress peer, Revision revision, boolean sameRegion) {
		this.schedule.recordRevision(peer, revision, sameRegion);
		pullIfDue();
	}

	void pullIfDue() {
		this.schedule.next().ifPresent(this::pullFrom);
	}

	private void pullFrom(NodeAddress peer) {
		ControlRequest request = ControlRequest.newBuilder()
			.setConfigurationAboveRevision(this.adopter.adoption().inForce().value())
			.build();
		this.transport.sendControlRequest(peer, request, TIMEOUT)
			.whenComplete((response, ex) -> this.executor.execute(() -> pullEnded(peer, response, ex)));
	}

	private void pullEnded(NodeAddress peer, ControlResponse response, Throwable failure) {
		boolean adopted = false;
		if (failure != null) {
			LOGGER.debugf("event=configuration-pull-failed peer=%s reason=%s", peer, failure.getMessage());
		}
		else if (response.getConfigurationRevision() > 0) {
			adopted = adopt(peer, response);
		}
		this.schedule.ended(peer, adopted);
		pullIfDue();
	}

	private boolean adopt(NodeAddress peer, ControlResponse response) {
		try {
			byte[] json = ConfigurationCompression.decompress(response.getConfiguration().toByteArray());
			return this.adopter.offer(new Revision(response.getConfigurationRevision()), json, peer.toString());
		}
		catch (IOException | IllegalArgumentException ex) {
			LOGGER.warnf("event=configuration-unreadable peer=%s reason=%s", peer, ex.getMessage());
			return false;
		}
	}

	ControlResponse answer(ControlRequest request) {
		ConfigurationAdopter.CompressedConfiguration current = this.adopter.current();
		if (current.revision().value() <= request.getConfigurationAboveRevision()) {
			return ControlResponse.getDefaultInstance();
		}
		return ControlResponse.newBuilder()
			.setConfigurationRevision(current.revision().value())
			.setConfiguration(ByteString.copyFrom(current.compressed()))
			.build();
	}

}
