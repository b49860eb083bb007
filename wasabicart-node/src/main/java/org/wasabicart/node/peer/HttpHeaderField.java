package org.wasabicart.node.peer;

import java.util.Objects;

/**
 * One HTTP header field that is passed through unchanged.
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
