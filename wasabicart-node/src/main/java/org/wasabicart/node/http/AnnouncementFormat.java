package org.wasabicart.node.http;

import java.io.IOException;
import java.util.Locale;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.node.LocalServer;

/**
 * JSON form of a backend server's announcement.
 */
final class AnnouncementFormat {

	// Unknown fields are tolerated, so that backend servers can be newer than nodes.
	private static final ObjectMapper MAPPER = new ObjectMapper()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private AnnouncementFormat() {
	}

	static LocalServer read(byte[] json) throws IOException {
		Announcement announcement = MAPPER.readValue(json, Announcement.class);
		if (announcement.address() == null || announcement.state() == null) {
			throw new IllegalArgumentException("address and state are required");
		}
		int colon = announcement.address().lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("address: expected IP:port");
		}
		NodeAddress address = new NodeAddress(announcement.address().substring(0, colon),
				Integer.parseInt(announcement.address().substring(colon + 1)));
		MemberState state = MemberState.valueOf(announcement.state().toUpperCase(Locale.ROOT));
		return new LocalServer(new ServiceName(announcement.service()), address, announcement.slots(),
				announcement.connections(), state);
	}

	private record Announcement(String service, String address, int slots, int connections, String state) {

	}

}
