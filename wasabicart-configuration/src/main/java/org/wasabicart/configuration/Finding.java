package org.wasabicart.configuration;

import java.util.Objects;

/**
 * One fault of a configuration or of a program's settings, with its place.
 *
 * @param place file and JSON path, or flag
 * @param message what is wrong and what is expected
 */
public record Finding(String place, String message) {

	public Finding {
		Objects.requireNonNull(place, "place");
		Objects.requireNonNull(message, "message");
	}

	@Override
	public String toString() {
		return this.place + ": " + this.message;
	}

}
