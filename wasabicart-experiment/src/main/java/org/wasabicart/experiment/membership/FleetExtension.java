package org.wasabicart.experiment.membership;

import org.wasabicart.core.membership.PeerMessage;

/**
 * What runs beside the controller of a node of a fleet.
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
