package org.wasabicart.configuration;

import java.util.Objects;

/**
 * One error in a configuration or in the settings of a program.
 *
 * @param place where the error is: file and JSON path, or flag
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
