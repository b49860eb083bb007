package org.wasabicart.core.mesh;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against ids of servers that end a line of a request head or of the log.
 */
class BackendIncarnationTests {

	@ParameterizedTest
	@ValueSource(strings = { "i-1\r\n", "i-1\n", "\ri-1", "i-1\nX: 1", "i\u0000", "i 1", "i-1\t", "i\u007f", "i\u0085",
			"i\u2028", "caf\u00e9", "\u010d\u010a" })
	void idWithOtherThanVisibleAsciiCharactersIsRejected(String id) {
		assertThatThrownBy(() -> new BackendIncarnation(id, 1)).isInstanceOf(IllegalArgumentException.class);
	}

	@ParameterizedTest
	@ValueSource(strings = { "i-7f3a91c2", "a", "svc/a:1@zone", "\"quoted\"", "~" })
	void idOfVisibleAsciiCharactersIsAccepted(String id) {
		assertThat(new BackendIncarnation(id, 1).instance()).isEqualTo(id);
	}

}
