package org.wasabicart.configuration;

import java.util.List;
import java.util.Objects;

import org.wasabicart.core.model.Revision;

/**
 * Author and history of a section.
 *
 * @param author who published the section
 * @param baseRevision revision of the stored configuration that the latest write of the
 * section replaced
 * @param changes ids of the latest changes of the section, newest first; they show
 * whether a change whose response was lost is stored
 */
public record SectionHeader(String author, Revision baseRevision, List<String> changes) {

	public SectionHeader {
		Objects.requireNonNull(author, "author");
		Objects.requireNonNull(baseRevision, "baseRevision");
		changes = List.copyOf(changes);
	}

}
