package org.wasabicart.node.peer;

import java.util.Objects;

/**
 * HTTP header field that is forwarded unchanged.
 *
 * @param name field name
 * @param value field value
 */
public record HttpHeaderField(String name, String value) {

	public HttpHeaderField {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(value, "value");
	}

}
