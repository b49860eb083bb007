package org.wasabicart.node.settings;

import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.netty.util.NetUtil;

import org.wasabicart.configuration.Finding;
import org.wasabicart.core.model.NodeAddress;

/**
 * Converts the text of settings to typed values and collects findings.
 */
final class SettingValues {

	private static final int MAXIMUM_PORT = 65535;

	private static final long MAXIMUM_GRACE_SECONDS = 3600;

	private static final List<String> LEVELS = List.of("TRACE", "DEBUG", "INFO", "WARN", "ERROR");

	private final Map<Setting, List<String>> textsBySetting = new EnumMap<>(Setting.class);

	private final Map<Setting, String> placesBySetting = new EnumMap<>(Setting.class);

	private final List<Finding> findings = new ArrayList<>();

	void put(Setting setting, String place, List<String> values) {
		this.textsBySetting.put(setting, values);
		this.placesBySetting.put(setting, place);
	}

	void addFinding(String place, String message) {
		this.findings.add(new Finding(place, message));
	}

	List<Finding> findings() {
		return this.findings;
	}

	/**
	 * Converts a required value.
	 * @param <T> type of the value
	 * @param setting setting
	 * @param conversion throws {@code IllegalArgumentException} for an invalid text
	 * @return the value, or {@code null} if a finding was added
	 */
	<T> T value(Setting setting, Function<String, T> conversion) {
		List<String> values = this.textsBySetting.getOrDefault(setting, List.of());
		if (values.size() > 1) {
			addFinding(place(setting), "is given more than once");
			return null;
		}
		if (values.isEmpty() || values.get(0).isEmpty()) {
			addFinding(place(setting), "is required");
			return null;
		}
		return convert(setting, values.get(0), conversion);
	}

	<T> Optional<T> optional(Setting setting, Function<String, T> conversion) {
		List<String> values = this.textsBySetting.getOrDefault(setting, List.of());
		if (values.isEmpty() || (values.size() == 1 && values.get(0).isEmpty())) {
			return Optional.empty();
		}
		return Optional.ofNullable(value(setting, conversion));
	}

	<T> List<T> list(Setting setting, Function<String, T> conversion) {
		return this.textsBySetting.getOrDefault(setting, List.of())
			.stream()
			.flatMap((text) -> Arrays.stream(text.split(",")))
			.filter((text) -> !text.isBlank())
			.map((text) -> Optional.ofNullable(convert(setting, text.strip(), conversion)))
			.flatMap(Optional::stream)
			.toList();
	}

	private <T> T convert(Setting setting, String text, Function<String, T> conversion) {
		try {
			return conversion.apply(text);
		}
		catch (IllegalArgumentException ex) {
			addFinding(place(setting), ex.getMessage());
			return null;
		}
	}

	private String place(Setting setting) {
		return this.placesBySetting.getOrDefault(setting, "--" + setting.flag());
	}

	static NodeAddress address(String text) {
		int colon = text.lastIndexOf(':');
		String host = (colon > 0) ? text.substring(0, colon) : "";
		boolean bracketed = host.startsWith("[") && host.endsWith("]");
		String bare = bracketed ? host.substring(1, host.length() - 1) : host;
		if (!NetUtil.isValidIpV4Address(bare) && !NetUtil.isValidIpV6Address(bare)) {
			throw new IllegalArgumentException("expected IP:port, found " + text);
		}
		return new NodeAddress(bare, (int) number(text.substring(colon + 1), 1, MAXIMUM_PORT));
	}

	static NodeAddress loopbackAddress(String text) {
		NodeAddress address = address(text);
		byte[] bytes = NetUtil.createByteArrayFromIpAddressString(address.host());
		try {
			if (!InetAddress.getByAddress(bytes).isLoopbackAddress()) {
				throw new IllegalArgumentException("expected a loopback address, found " + text);
			}
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("expected a loopback address, found " + text, ex);
		}
		return address;
	}

	static URI url(String text) {
		URI uri = URI.create(text);
		boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
		if (!http || uri.getHost() == null) {
			throw new IllegalArgumentException("expected a URL such as http://127.0.0.1:2379, found " + text);
		}
		return uri;
	}

	static Path readableFile(String text) {
		Path file = Path.of(text);
		if (!Files.isReadable(file) || !Files.isRegularFile(file) || file.toFile().length() == 0) {
			throw new IllegalArgumentException("file is missing, empty or cannot be read: " + text);
		}
		return file;
	}

	static Duration grace(String text) {
		return Duration.ofSeconds(number(text, 0, MAXIMUM_GRACE_SECONDS));
	}

	static String level(String text) {
		String level = text.toUpperCase(Locale.ROOT);
		if (!LEVELS.contains(level)) {
			throw new IllegalArgumentException("expected trace, debug, info, warn or error, found " + text);
		}
		return level;
	}

	static <E extends Enum<E>> Function<String, E> choice(Class<E> type) {
		return (text) -> Arrays.stream(type.getEnumConstants())
			.filter((constant) -> code(constant).equals(text))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("expected one of "
					+ Arrays.stream(type.getEnumConstants()).map(SettingValues::code).toList() + ", found " + text));
	}

	private static String code(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static long number(String text, long minimum, long maximum) {
		long number;
		try {
			number = Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("expected a whole number, found " + text, ex);
		}
		if (number < minimum || number > maximum) {
			throw new IllegalArgumentException("expected " + minimum + " to " + maximum + ", found " + text);
		}
		return number;
	}

}
