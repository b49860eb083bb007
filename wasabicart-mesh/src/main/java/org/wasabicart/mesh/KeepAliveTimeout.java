package org.wasabicart.mesh;

import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the idle timeout of a {@code Keep-Alive} header field.
 */
final class KeepAliveTimeout {

	static final String HEADER = "Keep-Alive";

	private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})", Pattern.CASE_INSENSITIVE);

	private KeepAliveTimeout() {
	}

	/**
	 * Parses the timeout.
	 * @param value value of the header field, or null
	 * @return the timeout in nanoseconds, or -1 if there is none
	 */
	static long parseNanoseconds(String value) {
		if (value == null) {
			return -1;
		}
		Matcher matcher = TIMEOUT.matcher(value);
		return matcher.find() ? TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1))) : -1;
	}

}
