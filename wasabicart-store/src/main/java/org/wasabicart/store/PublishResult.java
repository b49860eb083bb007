package org.wasabicart.store;

import java.util.List;
import java.util.Objects;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.configuration.Finding;
import org.wasabicart.core.model.Revision;

/**
 * Result of publishing sections of the configuration.
 */
public sealed interface PublishResult {

	/**
	 * The change is part of the stored configuration.
	 *
	 * @param revision lowest revision known to contain the change
	 * @param written whether a stored section lists the change id; otherwise equal
	 * sections were already stored, and nothing was written
	 */
	record Accepted(Revision revision, boolean written) implements PublishResult {

		public Accepted {
			Objects.requireNonNull(revision, "revision");
		}

	}

	/**
	 * The merged configuration has findings, and the change was not written.
	 *
	 * @param findings at least one finding
	 */
	record Invalid(List<Finding> findings) implements PublishResult {

		public Invalid {
			findings = List.copyOf(findings);
		}

	}

	/**
	 * The same section was changed since the base revision, and the change was not
	 * written.
	 *
	 * @param stored stored configuration
	 * @param storedRevision revision of the stored configuration
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
	 * The change was not written: the store did not respond before the first write, the
	 * stored configuration is invalid, or a concurrent change made the last write fail.
	 *
	 * @param message description of the last failure
	 */
	record NotWritten(String message) implements PublishResult {

		public NotWritten {
			Objects.requireNonNull(message, "message");
		}

	}

	/**
	 * The change may or may not be stored. Publishing it again with the same change id
	 * shows whether it is.
	 *
	 * @param message description of the last failure
	 */
	record Unknown(String message) implements PublishResult {

		public Unknown {
			Objects.requireNonNull(message, "message");
		}

	}

}
