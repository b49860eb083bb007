package org.wasabicart.mesh;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.MeshMember;

/**
 * Reads the entries of nodes in the store. An entry that is not valid, as another writer
 * may leave one, is reported once and skipped.
 */
final class MemberEntryReader {

	private static final Logger logger = Logger.getLogger(MemberEntryReader.class);

	/** Entries whose report is remembered; there are rarely more than a few. */
	private static final int MAXIMUM_REPORTED = 1000;

	private final String prefix;

	private final Map<String, StorePosition> reported = new HashMap<>();

	/**
	 * Creates a reader.
	 * @param prefix prefix of the keys, followed by the name of the node
	 */
	MemberEntryReader(String prefix) {
		this.prefix = Objects.requireNonNull(prefix, "prefix");
	}

	/**
	 * Returns the name of the node that a key belongs to.
	 * @param item item with the prefix
	 * @return the name, which may not be valid
	 */
	String nodeName(MeshStore.StoredItem item) {
		return item.key().startsWith(this.prefix) ? item.key().substring(this.prefix.length()) : "";
	}

	/**
	 * Reads an entry.
	 * @param item item with a value
	 * @return the server, or empty if the entry is not valid
	 */
	Optional<MeshMember> read(MeshStore.StoredItem item) {
		try {
			MeshMember member = MemberEntries.toMember(nodeName(item), item.value());
			this.reported.remove(item.key());
			return Optional.of(member);
		}
		catch (InvalidProtocolBufferException | RuntimeException | StackOverflowError ex) {
			report(item, ex);
			return Optional.empty();
		}
	}

	private void report(MeshStore.StoredItem item, Throwable failure) {
		if (this.reported.size() >= MAXIMUM_REPORTED) {
			this.reported.clear();
		}
		if (!item.position().equals(this.reported.put(item.key(), item.position()))) {
			logger.warnf("event=entry-unreadable key=%s revision=%d reason=\"%s\"", item.key(),
					item.position().revision(), LogReason.of(failure));
		}
	}

}
