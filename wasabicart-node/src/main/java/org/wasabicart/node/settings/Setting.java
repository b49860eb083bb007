package org.wasabicart.node.settings;

import java.util.Locale;
import java.util.Optional;

/**
 * Settings of the node process. The flag and the environment variable are derived from
 * the constant's name: {@code NODE_ID} gives {@code --node-id} and
 * {@code WASABICART_NODE_ID}. A flag takes precedence over its variable.
 */
public enum Setting {

	/** Id of the node. */
	NODE_ID("name", null, "id of the node, unique within the deployment"),

	/** Failure domain of the VM. */
	FAILURE_DOMAIN("name", null, "failure domain of the VM"),

	/** Region of the failure domain. */
	REGION("name", null, "region of the failure domain"),

	/** Address for links and membership. */
	LISTEN_ADDRESS("IP:port", null, "address for links (TCP) and membership (UDP)"),

	/** Address under which peers reach the node. */
	ADVERTISED_ADDRESS("IP:port", "", "address at which peers reach the node (default: the listen address)"),

	/** Address for callers and operators. */
	HTTP_ADDRESS("IP:port", null, "HTTP address for callers and operators"),

	/** Address for the local backend server. */
	LOCAL_HTTP_ADDRESS("IP:port", null, "HTTP address for the local backend server, on loopback"),

	/** Addresses of the store. */
	STORE("URL", "", "URL of the store's JSON gateway; may be given more than once"),

	/** Addresses of nodes to join. */
	SEEDS("IP:port,...", "", "advertised addresses of nodes to join when the store is down"),

	/** File with the key that authenticates the nodes of the deployment. */
	SHARED_KEY_FILE("file", null, "file with the key shared by all nodes of the deployment"),

	/** Maximum time that a shutdown waits for requests in progress. */
	GRACE_SECONDS("seconds", "20", "maximum time for running requests to finish at shutdown, 0 to 3600"),

	/** Format of log lines. */
	LOG_FORMAT("format", "key-value", "key-value or json"),

	/** Level of the log. */
	LOG_LEVEL("level", "info", "trace, debug, info, warn or error"),

	/** Overload control to apply. */
	CONTROL("mode", "wasabicart", "overload control: wasabicart, or fixed or none as a baseline");

	private final String argument;

	private final String defaultValue;

	private final String description;

	Setting(String argument, String defaultValue, String description) {
		this.argument = argument;
		this.defaultValue = defaultValue;
		this.description = description;
	}

	/**
	 * Returns the name of the flag, without dashes.
	 * @return the name
	 */
	public String flag() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns the name of the environment variable.
	 * @return the name
	 */
	public String variable() {
		return "WASABICART_" + name();
	}

	/**
	 * Returns the form of the argument, for the help text.
	 * @return the form
	 */
	public String argument() {
		return this.argument;
	}

	/**
	 * Returns the default value.
	 * @return the value, or empty if the setting is required
	 */
	public Optional<String> defaultValue() {
		return Optional.ofNullable(this.defaultValue);
	}

	/**
	 * Returns one line for the help text.
	 * @return the line
	 */
	public String description() {
		return this.description;
	}

}
