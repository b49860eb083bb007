package org.wasabicart.store;

import java.util.Objects;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.core.model.Revision;

/**
 * Configuration as it stands in the store.
 *
 * @param document document
 * @param revision modification revision of its key
 */
public record PublishedConfiguration(ConfigurationDocument document, Revision revision) {

	public PublishedConfiguration {
		Objects.requireNonNull(document, "document");
		Objects.requireNonNull(revision, "revision");
	}

}
