package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.overload.Shortage;
import org.wasabicart.wire.generated.mesh.MeshFrame;
import org.wasabicart.wire.generated.mesh.MeshLoad;
import org.wasabicart.wire.generated.mesh.MeshReply;
import org.wasabicart.wire.generated.mesh.MeshShortage;

/**
 * Converts shortages to protobuf messages and back. Times are sent as ages, since the
 * clocks of two VMs differ.
 */
final class ShortageMessages {

	private static final Logger logger = Logger.getLogger(ShortageMessages.class);

	/** Reports that are read from one reply. */
	private static final int MAXIMUM_REPORTS = 16;

	private ShortageMessages() {
	}

	/**
	 * Adds shortages to a reply that carries a load.
	 * @param frame frame with the reply
	 * @param reports shortages
	 * @param now current time in nanoseconds
	 * @return the frame with the shortages, or the same frame if it carries no load
	 */
	static MeshFrame withReports(MeshFrame frame, List<Shortage> reports, long now) {
		MeshReply reply = frame.getReply();
		if (!reply.hasLoad()) {
			return frame;
		}
		MeshLoad.Builder load = reply.getLoad().toBuilder().setShortagesReported(true);
		for (Shortage report : reports) {
			load.addShortages(MeshShortage.newBuilder()
				.setService(report.service().value())
				.setAdmissibleShare(report.admissibleShare())
				.setAgeMilliseconds((int) TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - report.observed())))
				.setNode(report.node().value())
				.setNeeded(report.needed()));
		}
		return frame.toBuilder().setReply(reply.toBuilder().setLoad(load)).build();
	}

	/**
	 * Reads the shortages of a reply.
	 * @param load load in the reply
	 * @param now current time in nanoseconds
	 * @return the shortages, or empty if the node reports none
	 */
	static Optional<List<Shortage>> toReports(MeshLoad load, long now) {
		if (!load.getShortagesReported()) {
			return Optional.empty();
		}
		List<Shortage> reports = new ArrayList<>();
		for (MeshShortage message : load.getShortagesList()) {
			if (reports.size() == MAXIMUM_REPORTS) {
				break;
			}
			try {
				reports.add(new Shortage(new ServiceName(message.getService()), message.getAdmissibleShare(),
						new NodeId(message.getNode()),
						now - TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(message.getAgeMilliseconds())),
						message.getNeeded()));
			}
			catch (IllegalArgumentException ex) {
				logger.debugf("event=shortage-unreadable reason=\"%s\"", LogReason.of(ex));
			}
		}
		return Optional.of(reports);
	}

}
