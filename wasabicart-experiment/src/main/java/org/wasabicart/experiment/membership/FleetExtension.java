package org.wasabicart.experiment.membership;

import org.wasabicart.core.membership.PeerMessage;

/**
 * Component that runs beside the membership controller of a fleet node.
 */
interface FleetExtension {

	/** Extension that does nothing. */
	FleetExtension NONE = new FleetExtension() {

		@Override
		public void tick() {
		}

		@Override
		public void received(PeerMessage message) {
		}

	};

	void tick();

	void received(PeerMessage message);

}
