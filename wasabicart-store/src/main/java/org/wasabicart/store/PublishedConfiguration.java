package org.wasabicart.store;

import java.util.Objects;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.core.model.Revision;

/**
 * Configuration document with the revision under which it is stored.
 *
 * @param document stored document
 * @param revision modification revision of the configuration key
 */
public record PublishedConfiguration(ConfigurationDocument document, Revision revision) {

	public PublishedConfiguration {
		Objects.requireNonNull(document, "document");
		Objects.requireNonNull(revision, "revision");
	}

}
