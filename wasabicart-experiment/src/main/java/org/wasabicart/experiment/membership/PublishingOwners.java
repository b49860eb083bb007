package org.wasabicart.experiment.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wasabicart.configuration.ConfigurationBuilder;
import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.configuration.ConfigurationException;
import org.wasabicart.configuration.ConfigurationFormat;
import org.wasabicart.core.model.Revision;
import org.wasabicart.store.ChangeId;
import org.wasabicart.store.ConfigurationPublisher;
import org.wasabicart.store.PublishResult;
import org.wasabicart.store.StoredValue;

/**
 * The two owners of the configuration, each of whom publishes changes of one section, and
 * the check that no accepted change was lost.
 */
final class PublishingOwners {

	private static final int SERVICES = 67;

	private static final int KINDS = 40;

	private final VirtualStore store;

	private final ConfigurationFormat format = new ConfigurationFormat();

	private final List<Accepted> accepted = new ArrayList<>();

	private int lastChange;

	private int unknown;

	private int notWritten;

	PublishingOwners(VirtualStore store) {
		this.store = store;
	}

	/**
	 * Publishes both sections together, since a configuration with only one of them is
	 * not valid.
	 * @throws IllegalStateException if they are not accepted
	 */
	void publishInitial() {
		ConfigurationDocument document = product(0).merge(operations(0));
		try {
			PublishResult result = new ConfigurationPublisher(new VirtualStoreClient(this.store, true))
				.publish(document, Optional.empty(), new ChangeId("change-0"));
			if (!(result instanceof PublishResult.Accepted)) {
				throw new IllegalStateException("The initial configuration was not accepted: " + result);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Publishes a change of one section, and optionally a concurrent change of the other.
	 * @param product whether the product manager publishes, otherwise the operations lead
	 * @param concurrent whether the other owner writes between the read and the write of
	 * this change
	 */
	void publish(boolean product, boolean concurrent) {
		VirtualStoreClient client = new VirtualStoreClient(this.store, true);
		if (concurrent) {
			client.beforeNextSwap(() -> publish(!product, false));
		}
		this.lastChange++;
		int number = this.lastChange;
		ConfigurationDocument document = product ? product(number) : operations(number);
		try {
			PublishResult result = new ConfigurationPublisher(client).publish(document, Optional.empty(),
					new ChangeId("change-" + number));
			record(product, number, result);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void record(boolean product, int number, PublishResult result) {
		if (result instanceof PublishResult.Accepted published) {
			this.accepted.add(new Accepted(product, number, published.revision(), this.store.time().nanoseconds()));
		}
		else if (result instanceof PublishResult.Unknown) {
			this.unknown++;
		}
		else {
			this.notWritten++;
		}
	}

	private static ConfigurationDocument product(int number) {
		return new ConfigurationBuilder().product("product-manager", (product) -> {
			for (int kind = 0; kind < KINDS; kind++) {
				int index = kind;
				product.kind("kind-" + kind,
						(builder) -> builder.importance((index + number) % 100)
							.credit(1 + number)
							.entryService("service-" + index)
							.pathPrefix("/path-" + index));
			}
			product.tenant("default", 1);
		}).build();
	}

	private static ConfigurationDocument operations(int number) {
		return new ConfigurationBuilder().operations("operations-lead", (operations) -> {
			for (int service = 0; service < SERVICES; service++) {
				int slots = 100 + service;
				operations.service("service-" + service,
						(builder) -> builder.slots(slots)
							.ceiling(1000 + number)
							.connections(1000 + number)
							.attemptDeadline(Duration.ofMillis(500)));
			}
			operations.defaultLimit(Duration.ofSeconds(2), 2).maximumRetryAllowance(3);
			operations.failureDomain("failure-domain-0", "region-0");
		}).build();
	}

	/**
	 * Counts how often an accepted change is missing, although no later change of the
	 * same section replaced it: once if it is in no revision from its own on, else once
	 * for each later revision that no longer contains it.
	 * @return 0 if no accepted change was lost
	 * @throws ConfigurationException if the store holds no valid document
	 */
	long lostAccepted() throws ConfigurationException {
		List<StoredValue> history = this.store.historyOf(ConfigurationPublisher.CONFIGURATION_KEY);
		long lost = 0;
		for (Accepted change : this.accepted) {
			boolean found = false;
			for (StoredValue value : history) {
				ConfigurationDocument document = this.format.parse("store", value.value());
				int stored = changeNumberOf(document, change.product());
				if (value.revision().compareTo(change.revision()) >= 0 && stored >= change.number()) {
					found = true;
				}
				else if (found && stored < change.number()) {
					lost++;
				}
			}
			lost += found ? 0 : 1;
		}
		return lost;
	}

	// Inverse of product and operations, which encode the number of the change in the
	// credit and in the ceiling.
	private static int changeNumberOf(ConfigurationDocument document, boolean product) {
		if (product) {
			return document.product().map((section) -> (int) section.kinds().get(0).credit() - 1).orElse(0);
		}
		return document.operations().map((section) -> section.services().get(0).ceiling() - 1000).orElse(0);
	}

	List<Accepted> accepted() {
		return this.accepted;
	}

	int unknown() {
		return this.unknown;
	}

	int notWritten() {
		return this.notWritten;
	}

	/**
	 * Change that a publisher reported as accepted.
	 *
	 * @param product whether the product section was changed
	 * @param number number of the change, which is encoded in the section's content
	 * @param revision revision that contains the change
	 * @param time virtual time of the acceptance in nanoseconds
	 */
	record Accepted(boolean product, int number, Revision revision, long time) {
	}

}
