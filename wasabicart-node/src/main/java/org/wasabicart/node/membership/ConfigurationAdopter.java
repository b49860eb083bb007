package org.wasabicart.node.membership;

import java.util.Objects;

import org.jboss.logging.Logger;

import org.wasabicart.core.adoption.ConfigurationAdoption;
import org.wasabicart.core.model.Revision;

/**
 * Adopts configurations from the store and from peers, and keeps the one in force in the
 * form that peers pull. Not thread-safe except for {@link #current()}.
 */
final class ConfigurationAdopter {

	private static final Logger LOGGER = Logger.getLogger(ConfigurationAdopter.class);

	private final ConfigurationAdoption adoption = new ConfigurationAdoption();

	private final ConfigurationSink sink;

	private Revision rejectedRevision = new Revision(0);

	private volatile CompressedConfiguration current = new CompressedConfiguration(new Revision(0), new byte[0]);

	ConfigurationAdopter(ConfigurationSink sink) {
		this.sink = Objects.requireNonNull(sink, "sink");
	}

	ConfigurationAdoption adoption() {
		return this.adoption;
	}

	boolean offer(Revision revision, byte[] json, String source) {
		if (!this.adoption.isNewer(revision) || revision.equals(this.rejectedRevision)) {
			return false;
		}
		if (!this.sink.adopt(revision, json)) {
			// This revision is not offered to the sink again and is not passed on to
			// peers.
			this.rejectedRevision = revision;
			LOGGER.errorf("event=configuration-rejected revision=%s source=%s", revision, source);
			return false;
		}
		this.adoption.offer(revision);
		this.current = new CompressedConfiguration(revision, ConfigurationCompression.compress(json));
		LOGGER.infof("event=configuration-in-force revision=%s source=%s", revision, source);
		return true;
	}

	/**
	 * Returns the configuration in force. Safe for use by several threads.
	 * @return revision and compressed JSON
	 */
	CompressedConfiguration current() {
		return this.current;
	}

	/**
	 * Configuration in the form that peers pull.
	 *
	 * @param revision revision; zero if none is in force
	 * @param compressed JSON compressed with gzip
	 */
	record CompressedConfiguration(Revision revision, byte[] compressed) {
	}

}
