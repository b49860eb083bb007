package org.wasabicart.experiment.membership;

import java.util.HashSet;
import java.util.Set;

import org.wasabicart.configuration.ConfigurationException;
import org.wasabicart.configuration.ConfigurationFormat;
import org.wasabicart.core.membership.MembershipSettings;
import org.wasabicart.core.model.Revision;

/**
 * Fleet whose nodes distribute the configuration from a store in virtual time.
 */
final class ConfigurationFleet {

	private final MembershipFleet membership;

	private final VirtualStore store;

	private final ConfigurationFormat format = new ConfigurationFormat();

	private final Set<Long> validRevisions = new HashSet<>();

	private long reversions;

	private long pulls;

	private long pulledBytes;

	private long pulledAcrossRegions;

	ConfigurationFleet(FleetLayout layout, long seed) {
		this.membership = new MembershipFleet(layout, MembershipSettings.defaults(), seed);
		this.store = new VirtualStore(this.membership.time(), this.membership.random().split());
		this.membership
			.setExtensionFactory((node) -> new ConfiguredNode(this, node, new VirtualStoreClient(this.store, false)));
	}

	// The result is equal on all nodes, so a valid revision is checked only once.
	boolean isValid(Revision revision, byte[] json) {
		if (this.validRevisions.contains(revision.value())) {
			return true;
		}
		try {
			this.format.readSnapshot("store", json, revision);
			this.validRevisions.add(revision.value());
			return true;
		}
		catch (ConfigurationException ex) {
			return false;
		}
	}

	void countReversion() {
		this.reversions++;
	}

	void countPull(long bytes, boolean acrossRegions) {
		this.pulls++;
		this.pulledBytes += bytes;
		this.pulledAcrossRegions += acrossRegions ? bytes : 0;
	}

	long lowestRevision(long startedBefore) {
		long lowest = Long.MAX_VALUE;
		for (FleetNode node : this.membership.running()) {
			if (node.startedAt <= startedBefore && !node.paused) {
				lowest = Math.min(lowest, ((ConfiguredNode) node.extension).revision());
			}
		}
		return lowest;
	}

	MembershipFleet membership() {
		return this.membership;
	}

	VirtualStore store() {
		return this.store;
	}

	long reversionCount() {
		return this.reversions;
	}

	long pulls() {
		return this.pulls;
	}

	long pulledBytes() {
		return this.pulledBytes;
	}

	long pulledAcrossRegions() {
		return this.pulledAcrossRegions;
	}

}
