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
 * Publishes sections of the configuration by compare-and-swap. A concurrent change of the
 * other section is merged and the write is tried again; a concurrent change of the same
 * section is a conflict. A write whose response was lost is looked for by its change id
 * before anything else is reported.
 */
public final class ConfigurationPublisher {

	/** Key of the configuration in the store. */
	public static final String KEY = "/wasabicart/configuration";

	private static final int MAXIMUM_ATTEMPTS = 8;

	private final StoreClient store;

	private final ConfigurationFormat format = new ConfigurationFormat();

	/**
	 * Creates a publisher.
	 * @param store store
	 */
	public ConfigurationPublisher(StoreClient store) {
		this.store = Objects.requireNonNull(store, "store");
	}

	/**
	 * Publishes the sections of a document.
	 * @param own sections to publish
	 * @param base revision that the change is based on, or empty for the latest
	 * @param change id of the change; the same id may be published again safely
	 * @return the result
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public PublishResult publish(ConfigurationDocument own, Optional<Revision> base, ChangeId change)
			throws InterruptedException {
		boolean mayBeWritten = false;
		Optional<Revision> effectiveBase = base;
		Optional<Stored> known = Optional.empty();
		String lastFailure = "";
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
			try {
				Stored stored = known.isPresent() ? known.get() : read();
				known = Optional.empty();
				if (effectiveBase.isEmpty()) {
					effectiveBase = Optional.of(stored.revision);
				}
				SectionMerge merge = new SectionMerge(stored.document, stored.revision, own,
						effectiveBase.orElseThrow(), change);
				Optional<PublishResult> result = decide(merge, stored, own);
				if (result.isPresent()) {
					return result.get();
				}
				mayBeWritten = true;
				SwapResult swapped = write(merge.merged(), stored.revision);
				if (swapped instanceof SwapResult.Swapped accepted) {
					return new PublishResult.Accepted(accepted.revision(), true);
				}
				// The transaction read this value, so it is never stale. If it lacks the
				// change, no earlier write of the change can take effect any more.
				Stored current = parse(((SwapResult.Conflict) swapped).current());
				mayBeWritten = false;
				known = Optional.of(current);
				lastFailure = "other writers were faster in every attempt";
			}
			catch (ExecutionException ex) {
				lastFailure = describe(ex);
			}
		}
		return mayBeWritten ? new PublishResult.Unknown(lastFailure) : new PublishResult.NotWritten(lastFailure);
	}

	/**
	 * Reads the stored configuration.
	 * @return the document with its revision, or empty if there is none
	 * @throws InterruptedException if the thread is interrupted while it waits
	 * @throws StoreException if the store does not respond or holds no valid document
	 */
	public Optional<PublishedConfiguration> current() throws InterruptedException, StoreException {
		try {
			Stored stored = read();
			return (stored.revision.value() == 0) ? Optional.empty()
					: Optional.of(new PublishedConfiguration(stored.document, stored.revision));
		}
		catch (ExecutionException ex) {
			throw new StoreException(describe(ex), ex.getCause());
		}
	}

	private Optional<PublishResult> decide(SectionMerge merge, Stored stored, ConfigurationDocument own) {
		if (merge.isAlreadyStored()) {
			return Optional.of(new PublishResult.Accepted(stored.revision, merge.hasOwnChange()));
		}
		if (merge.hasConflict()) {
			return Optional.of(new PublishResult.Conflict(stored.document, stored.revision, own));
		}
		List<Finding> findings = this.format.check("publish", merge.merged());
		return findings.isEmpty() ? Optional.empty() : Optional.of(new PublishResult.Invalid(findings));
	}

	private Stored read() throws InterruptedException, ExecutionException {
		return parse(this.store.get(KEY).get());
	}

	private Stored parse(Optional<StoredValue> value) throws ExecutionException {
		if (value.isEmpty()) {
			return new Stored(ConfigurationDocument.empty(), new Revision(0));
		}
		try {
			return new Stored(this.format.parse("store", value.get().value()), value.get().revision());
		}
		catch (ConfigurationException ex) {
			throw new ExecutionException("The stored configuration is not valid", ex);
		}
	}

	private SwapResult write(ConfigurationDocument merged, Revision expected)
			throws InterruptedException, ExecutionException {
		return this.store.compareAndSwap(KEY, expected, this.format.write(merged), Optional.empty()).get();
	}

	private static String describe(ExecutionException ex) {
		return (ex.getCause() != null) ? ex.getCause().getMessage() : ex.getMessage();
	}

	private record Stored(ConfigurationDocument document, Revision revision) {

	}

}
