package org.wasabicart.node.settings;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;

/**
 * Reads settings from flags and environment variables.
 * <p>
 * Example:
 * {@code NodeSettings settings = new SettingsReader(System.getenv()).read(arguments);}
 */
public final class SettingsReader {

	private static final String HELP = "help";

	private final Map<String, String> environment;

	/**
	 * Creates a reader.
	 * @param environment environment variables
	 */
	public SettingsReader(Map<String, String> environment) {
		this.environment = Map.copyOf(environment);
	}

	/**
	 * Returns whether the arguments ask for the help text.
	 * @param arguments command line arguments
	 * @return whether {@code --help} is among them
	 */
	public static boolean asksForHelp(String... arguments) {
		return List.of(arguments).contains("--" + HELP);
	}

	/**
	 * Returns the help text, one line per setting.
	 * @return the text
	 */
	public static String help() {
		StringBuilder text = new StringBuilder("Usage: wasabicart node [options]\n");
		for (Setting setting : Setting.values()) {
			String flag = "--" + setting.flag() + " <" + setting.argument() + ">";
			String defaultText = setting.defaultValue()
				.map((value) -> value.isEmpty() ? "" : " (default " + value + ")")
				.orElse(" (required)");
			text.append(String.format("  %-34s %-32s %s%s%n", flag, setting.variable(), setting.description(),
					defaultText));
		}
		return text.toString();
	}

	/**
	 * Reads and checks all settings.
	 * @param arguments command line arguments
	 * @return the settings
	 * @throws SettingsException with all findings together
	 */
	public NodeSettings read(String... arguments) throws SettingsException {
		Objects.requireNonNull(arguments, "arguments");
		SettingValues values = new SettingValues();
		collect(values, arguments);
		NodeSettings settings = convert(values);
		if (!values.findings().isEmpty()) {
			throw new SettingsException(values.findings());
		}
		return settings;
	}

	private void collect(SettingValues values, String... arguments) {
		OptionParser parser = new OptionParser();
		// Unknown flags become plain arguments, so that all of them can be reported.
		parser.allowsUnrecognizedOptions();
		for (Setting setting : Setting.values()) {
			parser.accepts(setting.flag()).withOptionalArg();
		}
		OptionSet options;
		try {
			options = parser.parse(arguments);
		}
		catch (OptionException ex) {
			values.addFinding("command line", ex.getMessage());
			return;
		}
		options.nonOptionArguments()
			.forEach((argument) -> values.addFinding(String.valueOf(argument), "is not a known setting"));
		for (Setting setting : Setting.values()) {
			collect(values, options, setting);
		}
	}

	private void collect(SettingValues values, OptionSet options, Setting setting) {
		String flag = "--" + setting.flag();
		if (options.has(setting.flag())) {
			List<String> texts = options.valuesOf(setting.flag()).stream().map(String::valueOf).toList();
			values.put(setting, flag, texts);
			if (texts.isEmpty() && setting.defaultValue().isPresent()) {
				values.addFinding(flag, "needs an argument");
			}
			return;
		}
		String variable = this.environment.get(setting.variable());
		if (variable != null && !variable.isEmpty()) {
			values.put(setting, setting.variable(), List.of(variable));
			return;
		}
		setting.defaultValue().ifPresent((value) -> values.put(setting, flag, List.of(value)));
	}

	private static NodeSettings convert(SettingValues values) {
		NodeAddress listen = values.value(Setting.LISTEN_ADDRESS, SettingValues::address);
		NodeAddress advertised = values.optional(Setting.ADVERTISED_ADDRESS, SettingValues::address).orElse(listen);
		return new NodeSettings(values.value(Setting.NODE_ID, NodeId::new),
				values.value(Setting.FAILURE_DOMAIN, FailureDomain::new), values.value(Setting.REGION, RegionName::new),
				listen, advertised, values.value(Setting.HTTP_ADDRESS, SettingValues::address),
				values.value(Setting.LOCAL_HTTP_ADDRESS, SettingValues::loopbackAddress),
				values.list(Setting.STORE, SettingValues::url), values.list(Setting.SEEDS, SettingValues::address),
				values.value(Setting.SHARED_KEY_FILE, SettingValues::readableFile),
				values.value(Setting.GRACE_SECONDS, SettingValues::grace),
				values.value(Setting.LOG_FORMAT, SettingValues.choice(LogFormat.class)),
				values.value(Setting.LOG_LEVEL, SettingValues::level),
				values.value(Setting.CONTROL, SettingValues.choice(ControlMode.class)));
	}

}
