package org.wasabicart.store;

import java.util.List;
import java.util.Objects;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.configuration.Finding;
import org.wasabicart.core.model.Revision;

/**
 * Result of publishing a section.
 */
public sealed interface PublishResult {

	/**
	 * The change is part of the stored configuration.
	 *
	 * @param revision lowest revision known to hold the change
	 * @param written whether the stored section carries this change id; otherwise an
	 * equal section stood before, and nothing was written
	 */
	record Accepted(Revision revision, boolean written) implements PublishResult {

		public Accepted {
			Objects.requireNonNull(revision, "revision");
		}

	}

	/**
	 * The configuration as a whole has findings, and nothing was written.
	 *
	 * @param findings findings
	 */
	record Invalid(List<Finding> findings) implements PublishResult {

		public Invalid {
			findings = List.copyOf(findings);
		}

	}

	/**
	 * The same section was changed since the base revision, and nothing was written.
	 *
	 * @param stored configuration that stands
	 * @param storedRevision its revision
	 * @param own document that was to be published
	 */
	record Conflict(ConfigurationDocument stored, Revision storedRevision,
			ConfigurationDocument own) implements PublishResult {

		public Conflict {
			Objects.requireNonNull(stored, "stored");
			Objects.requireNonNull(storedRevision, "storedRevision");
			Objects.requireNonNull(own, "own");
		}

	}

	/**
	 * Nothing was written: the store did not respond before the first write.
	 *
	 * @param message what happened
	 */
	record NotWritten(String message) implements PublishResult {

		public NotWritten {
			Objects.requireNonNull(message, "message");
		}

	}

	/**
	 * The change may or may not be stored. Publishing again with the same change id
	 * tells.
	 *
	 * @param message what happened
	 */
	record Unknown(String message) implements PublishResult {

		public Unknown {
			Objects.requireNonNull(message, "message");
		}

	}

}
