package org.wasabicart.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.configuration.OperationsSection;
import org.wasabicart.configuration.ProductSection;
import org.wasabicart.configuration.SectionHeader;
import org.wasabicart.core.model.Revision;

/**
 * Merges the sections of one change into the stored configuration. The base revision of a
 * stored section is the revision that its latest write replaced. A section whose base
 * revision is equal to or higher than that of the change was written after the revision
 * that the change is based on, which is a conflict.
 */
final class SectionMerge {

	/**
	 * Maximum number of change ids that a section lists. A change that is published again
	 * is not recognised after this many later changes of its section.
	 */
	static final int MAXIMUM_CHANGE_IDS = 64;

	private final ConfigurationDocument stored;

	private final Revision storedRevision;

	private final ConfigurationDocument proposed;

	private final Revision base;

	private final ChangeId changeId;

	SectionMerge(ConfigurationDocument stored, Revision storedRevision, ConfigurationDocument proposed, Revision base,
			ChangeId changeId) {
		this.stored = stored;
		this.storedRevision = storedRevision;
		this.proposed = proposed;
		this.base = base;
		this.changeId = changeId;
	}

	boolean isAlreadyStored() {
		return productIsStored() && operationsAreStored();
	}

	boolean isChangeListed() {
		return this.stored.product().map(ProductSection::header).filter(this::listsChange).isPresent()
				|| this.stored.operations().map(OperationsSection::header).filter(this::listsChange).isPresent();
	}

	boolean hasConflict() {
		boolean product = this.proposed.product().isPresent()
				&& this.stored.product().map(ProductSection::header).filter(this::isWrittenAfterBase).isPresent();
		boolean operations = this.proposed.operations().isPresent()
				&& this.stored.operations().map(OperationsSection::header).filter(this::isWrittenAfterBase).isPresent();
		return product || operations;
	}

	ConfigurationDocument merged() {
		Optional<ProductSection> product = this.proposed.product()
			.map((section) -> section
				.withHeader(mergedHeader(section.header(), this.stored.product().map(ProductSection::header))));
		Optional<OperationsSection> operations = this.proposed.operations()
			.map((section) -> section
				.withHeader(mergedHeader(section.header(), this.stored.operations().map(OperationsSection::header))));
		return this.stored.merge(new ConfigurationDocument(product, operations));
	}

	private boolean productIsStored() {
		return this.proposed.product().isEmpty() || this.stored.product()
			.filter((section) -> listsChange(section.header())
					|| section.hasSameContentAs(this.proposed.product().orElseThrow()))
			.isPresent();
	}

	private boolean operationsAreStored() {
		return this.proposed.operations().isEmpty() || this.stored.operations()
			.filter((section) -> listsChange(section.header())
					|| section.hasSameContentAs(this.proposed.operations().orElseThrow()))
			.isPresent();
	}

	private boolean listsChange(SectionHeader header) {
		return header.changes().contains(this.changeId.value());
	}

	private boolean isWrittenAfterBase(SectionHeader header) {
		return this.base.compareTo(header.baseRevision()) <= 0;
	}

	private SectionHeader mergedHeader(SectionHeader proposed, Optional<SectionHeader> stored) {
		List<String> changeIds = new ArrayList<>();
		changeIds.add(this.changeId.value());
		stored.ifPresent((header) -> changeIds.addAll(header.changes()));
		return new SectionHeader(proposed.author(), this.storedRevision,
				changeIds.subList(0, Math.min(changeIds.size(), MAXIMUM_CHANGE_IDS)));
	}

}
