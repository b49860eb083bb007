package org.wasabicart.configuration;

import java.util.List;
import java.util.Objects;

import org.wasabicart.core.model.Revision;

/**
 * Origin of a section's content.
 *
 * @param author who published the section
 * @param baseRevision revision that the change was based on
 * @param changes ids of the latest changes of this section, newest first; recognises a
 * change whose response was lost
 */
public record SectionHeader(String author, Revision baseRevision, List<String> changes) {

	public SectionHeader {
		Objects.requireNonNull(author, "author");
		Objects.requireNonNull(baseRevision, "baseRevision");
		changes = List.copyOf(changes);
	}

}
