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
 * Merges the sections of one change into the stored configuration. A section that was
 * written after the change's base revision is in conflict, since its own base revision is
 * at least as high.
 */
final class SectionMerge {

	/** A repeated publish is recognised among this many later changes of its section. */
	static final int RETAINED_CHANGES = 64;

	private final ConfigurationDocument stored;

	private final Revision storedRevision;

	private final ConfigurationDocument own;

	private final Revision base;

	private final ChangeId change;

	SectionMerge(ConfigurationDocument stored, Revision storedRevision, ConfigurationDocument own, Revision base,
			ChangeId change) {
		this.stored = stored;
		this.storedRevision = storedRevision;
		this.own = own;
		this.base = base;
		this.change = change;
	}

	boolean isAlreadyStored() {
		return productIsStored() && operationsAreStored();
	}

	boolean hasOwnChange() {
		return this.stored.product().map(ProductSection::header).filter(this::hasChange).isPresent()
				|| this.stored.operations().map(OperationsSection::header).filter(this::hasChange).isPresent();
	}

	boolean hasConflict() {
		boolean product = this.own.product().isPresent()
				&& this.stored.product().map(ProductSection::header).filter(this::isLaterThanBase).isPresent();
		boolean operations = this.own.operations().isPresent()
				&& this.stored.operations().map(OperationsSection::header).filter(this::isLaterThanBase).isPresent();
		return product || operations;
	}

	ConfigurationDocument merged() {
		Optional<ProductSection> product = this.own.product()
			.map((section) -> section
				.withHeader(header(section.header(), this.stored.product().map(ProductSection::header))));
		Optional<OperationsSection> operations = this.own.operations()
			.map((section) -> section
				.withHeader(header(section.header(), this.stored.operations().map(OperationsSection::header))));
		return this.stored.merge(new ConfigurationDocument(product, operations));
	}

	private boolean productIsStored() {
		return this.own.product().isEmpty() || this.stored.product()
			.filter((section) -> hasChange(section.header()) || section.hasContentOf(this.own.product().orElseThrow()))
			.isPresent();
	}

	private boolean operationsAreStored() {
		return this.own.operations().isEmpty() || this.stored.operations()
			.filter((section) -> hasChange(section.header())
					|| section.hasContentOf(this.own.operations().orElseThrow()))
			.isPresent();
	}

	private boolean hasChange(SectionHeader header) {
		return header.changes().contains(this.change.value());
	}

	private boolean isLaterThanBase(SectionHeader header) {
		return this.base.compareTo(header.baseRevision()) <= 0;
	}

	private SectionHeader header(SectionHeader own, Optional<SectionHeader> stored) {
		List<String> changes = new ArrayList<>();
		changes.add(this.change.value());
		stored.ifPresent((header) -> changes.addAll(header.changes()));
		return new SectionHeader(own.author(), this.storedRevision,
				changes.subList(0, Math.min(changes.size(), RETAINED_CHANGES)));
	}

}
