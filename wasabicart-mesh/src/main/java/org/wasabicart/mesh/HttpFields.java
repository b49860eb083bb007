package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

import org.wasabicart.wire.generated.mesh.MeshHeader;

/**
 * Separates the header fields of a message from those of one connection.
 */
final class HttpFields {

	private static final Set<String> CONNECTION_FIELDS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private HttpFields() {
	}

	/**
	 * Returns the header fields that travel with the message.
	 * @param headers all header fields
	 * @param dropped names in lower case that are left out as well
	 * @return the header fields
	 */
	static List<MeshHeader> endToEnd(HttpHeaders headers, Set<String> dropped) {
		Set<String> named = namedByConnection(headers);
		List<MeshHeader> fields = new ArrayList<>(headers.size());
		for (Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence(); entries
			.hasNext();) {
			Map.Entry<CharSequence, CharSequence> entry = entries.next();
			String name = entry.getKey().toString();
			String lowerCase = name.toLowerCase(Locale.ROOT);
			if (!CONNECTION_FIELDS.contains(lowerCase) && !dropped.contains(lowerCase) && !named.contains(lowerCase)) {
				fields.add(MeshHeader.newBuilder().setName(name).setValue(entry.getValue().toString()).build());
			}
		}
		return fields;
	}

	private static Set<String> namedByConnection(HttpHeaders headers) {
		String connection = headers.get(HttpHeaderNames.CONNECTION);
		if (connection == null) {
			return Set.of();
		}
		Set<String> names = new HashSet<>();
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				names.add(name.strip().toLowerCase(Locale.ROOT));
			}
		}
		return names;
	}

	/**
	 * Finds the value of a header field.
	 * @param fields header fields
	 * @param name name, in any case
	 * @return the first value, or null
	 */
	static String value(List<MeshHeader> fields, String name) {
		for (MeshHeader field : fields) {
			if (field.getName().equalsIgnoreCase(name)) {
				return field.getValue();
			}
		}
		return null;
	}

}
