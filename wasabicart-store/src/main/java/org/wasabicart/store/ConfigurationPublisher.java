package org.wasabicart.store;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutionException;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.configuration.ConfigurationException;
import org.wasabicart.configuration.ConfigurationFormat;
import org.wasabicart.configuration.Finding;
import org.wasabicart.core.model.Revision;

/**
 * Publishes sections of the configuration by compare-and-swap. After a concurrent change
 * of the other section, the sections are merged and the write is tried again; a
 * concurrent change of the same section is a conflict. After a write whose response was
 * lost, the change id in the stored section shows whether the write took effect.
 */
public final class ConfigurationPublisher {

	/** Key of the configuration in the store. */
	public static final String CONFIGURATION_KEY = "/wasabicart/configuration";

	private static final int MAXIMUM_ATTEMPTS = 8;

	private final StoreClient store;

	private final ConfigurationFormat format = new ConfigurationFormat();

	/**
	 * Creates a publisher.
	 * @param store client of the store that holds the configuration
	 */
	public ConfigurationPublisher(StoreClient store) {
		this.store = Objects.requireNonNull(store, "store");
	}

	/**
	 * Publishes the sections of a document.
	 * @param proposed document with the sections to publish
	 * @param base revision that the change is based on, or empty for the latest
	 * @param changeId id of the change, with which the change can safely be published
	 * again
	 * @return the result
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public PublishResult publish(ConfigurationDocument proposed, Optional<Revision> base, ChangeId changeId)
			throws InterruptedException {
		boolean mayBeWritten = false;
		Optional<Revision> effectiveBase = base;
		Optional<StoredDocument> conflicting = Optional.empty();
		String lastFailure = "";
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
			try {
				StoredDocument stored = conflicting.isPresent() ? conflicting.get() : read();
				conflicting = Optional.empty();
				if (effectiveBase.isEmpty()) {
					effectiveBase = Optional.of(stored.revision);
				}
				SectionMerge merge = new SectionMerge(stored.document, stored.revision, proposed,
						effectiveBase.orElseThrow(), changeId);
				Optional<PublishResult> result = resultWithoutWrite(merge, stored, proposed);
				if (result.isPresent()) {
					return result.get();
				}
				mayBeWritten = true;
				SwapResult swapResult = write(merge.merged(), stored.revision);
				if (swapResult instanceof SwapResult.Swapped swapped) {
					return new PublishResult.Accepted(swapped.revision(), true);
				}
				// The transaction itself read this value, so it is not stale. If it lacks
				// the change, no earlier write of the change can still take effect.
				StoredDocument current = parse(((SwapResult.Conflict) swapResult).current());
				mayBeWritten = false;
				conflicting = Optional.of(current);
				lastFailure = "another writer changed the stored configuration during the last attempt";
			}
			catch (ExecutionException ex) {
				lastFailure = describe(ex);
			}
		}
		return mayBeWritten ? new PublishResult.Unknown(lastFailure) : new PublishResult.NotWritten(lastFailure);
	}

	/**
	 * Reads the stored configuration.
	 * @return the document with its revision, or empty if none is stored
	 * @throws InterruptedException if the thread is interrupted while it waits
	 * @throws StoreException if the store does not respond or the stored document is
	 * invalid
	 */
	public Optional<PublishedConfiguration> current() throws InterruptedException, StoreException {
		try {
			StoredDocument stored = read();
			return (stored.revision.value() == 0) ? Optional.empty()
					: Optional.of(new PublishedConfiguration(stored.document, stored.revision));
		}
		catch (ExecutionException ex) {
			throw new StoreException(describe(ex), ex.getCause());
		}
	}

	private Optional<PublishResult> resultWithoutWrite(SectionMerge merge, StoredDocument stored,
			ConfigurationDocument proposed) {
		if (merge.isAlreadyStored()) {
			return Optional.of(new PublishResult.Accepted(stored.revision, merge.isChangeListed()));
		}
		if (merge.hasConflict()) {
			return Optional.of(new PublishResult.Conflict(stored.document, stored.revision, proposed));
		}
		List<Finding> findings = this.format.check("publish", merge.merged());
		return findings.isEmpty() ? Optional.empty() : Optional.of(new PublishResult.Invalid(findings));
	}

	private StoredDocument read() throws InterruptedException, ExecutionException {
		return parse(this.store.get(CONFIGURATION_KEY).get());
	}

	private StoredDocument parse(Optional<StoredValue> value) throws ExecutionException {
		if (value.isEmpty()) {
			return new StoredDocument(ConfigurationDocument.empty(), new Revision(0));
		}
		try {
			return new StoredDocument(this.format.parse("store", value.get().value()), value.get().revision());
		}
		catch (ConfigurationException ex) {
			throw new ExecutionException("The stored configuration is not valid", ex);
		}
	}

	private SwapResult write(ConfigurationDocument merged, Revision expected)
			throws InterruptedException, ExecutionException {
		return this.store.compareAndSwap(CONFIGURATION_KEY, expected, this.format.write(merged), Optional.empty())
			.get();
	}

	private static String describe(ExecutionException ex) {
		return (ex.getCause() != null) ? ex.getCause().getMessage() : ex.getMessage();
	}

	private record StoredDocument(ConfigurationDocument document, Revision revision) {

	}

}
