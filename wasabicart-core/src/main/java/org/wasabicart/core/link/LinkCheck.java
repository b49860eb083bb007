package org.wasabicart.core.link;

import java.util.Objects;

/**
 * Result of one check of a link.
 *
 * @param health health of the link
 * @param heartbeatDue whether a heartbeat is to be sent now
 */
public record LinkCheck(LinkHealth health, boolean heartbeatDue) {

	public LinkCheck {
		Objects.requireNonNull(health, "health");
	}

}
