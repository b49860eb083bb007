package org.wasabicart.node.membership;

import java.util.Objects;

import org.jboss.logging.Logger;

import org.wasabicart.core.adoption.ConfigurationAdoption;
import org.wasabicart.core.model.Revision;

/**
 * Adopts configurations from any source, and keeps the one in force for peers.
 */
final class ConfigurationStage {

	private static final Logger LOGGER = Logger.getLogger(ConfigurationStage.class);

	private final ConfigurationAdoption adoption = new ConfigurationAdoption();

	private final ConfigurationSink sink;

	private Revision invalid = new Revision(0);

	private volatile Stored stored = new Stored(new Revision(0), new byte[0]);

	ConfigurationStage(ConfigurationSink sink) {
		this.sink = Objects.requireNonNull(sink, "sink");
	}

	ConfigurationAdoption adoption() {
		return this.adoption;
	}

	boolean offer(Revision revision, byte[] json, String source) {
		if (!this.adoption.isNewer(revision) || revision.equals(this.invalid)) {
			return false;
		}
		if (!this.sink.adopt(revision, json)) {
			// Not offered to the sink again, and not passed on to peers.
			this.invalid = revision;
			LOGGER.errorf("event=configuration-rejected revision=%s source=%s", revision, source);
			return false;
		}
		this.adoption.offer(revision);
		this.stored = new Stored(revision, ConfigurationCompression.compress(json));
		LOGGER.infof("event=configuration-in-force revision=%s source=%s", revision, source);
		return true;
	}

	/**
	 * Returns the configuration in force. Safe for use by several threads.
	 * @return revision and compressed JSON
	 */
	Stored stored() {
		return this.stored;
	}

	/**
	 * Configuration as it is passed on to peers.
	 *
	 * @param revision revision, zero if none is in force
	 * @param compressed JSON compressed with gzip
	 */
	record Stored(Revision revision, byte[] compressed) {
	}

}
