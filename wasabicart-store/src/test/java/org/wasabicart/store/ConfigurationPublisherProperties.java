package org.wasabicart.store;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.configuration.ConfigurationException;
import org.wasabicart.configuration.ConfigurationFormat;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost acceptances and reverted changes when both owners publish at the
 * same moment through a store with outages, stale reads and lost responses.
 */
class ConfigurationPublisherProperties {

	private final ConfigurationFormat format = new ConfigurationFormat();

	@Property(tries = 300)
	void everyAcceptedChangeStaysAndEveryRefusedChangeIsAbsent(@ForAll("publishes") List<Publish> publishes)
			throws Exception {
		FakeStore store = new FakeStore();
		ConfigurationPublisher publisher = new ConfigurationPublisher(store);
		Set<String> accepted = new HashSet<>();
		Set<String> absent = new HashSet<>();
		for (int i = 0; i < publishes.size(); i++) {
			Publish publish = publishes.get(i);
			String concurrentChange = "c" + i;
			store.faults.addAll(publish.faults());
			store.beforeSwap = () -> record(
					publishNow(publisher, publish.concurrentProduct(), concurrentNumber(publish), concurrentChange),
					concurrentChange, accepted, absent);
			String change = "m" + i;
			record(publishNow(publisher, publish.product(), publish.number(), change), change, accepted, absent);
			store.faults.clear();
		}
		Set<String> stored = new HashSet<>();
		for (StoredValue value : store.written) {
			Set<String> changes = changes(value);
			assertThat(changes).as("no write drops an earlier change").containsAll(stored);
			stored = changes;
		}
		assertThat(stored).containsAll(accepted);
		assertThat(Collections.disjoint(stored, absent)).as("refused changes are absent").isTrue();
	}

	private static int concurrentNumber(Publish publish) {
		return publish.number() + 1;
	}

	private static PublishResult publishNow(ConfigurationPublisher publisher, boolean product, int number,
			String change) {
		ConfigurationDocument document = product ? TestDocuments.product(number) : TestDocuments.operations(number);
		try {
			return publisher.publish(document, Optional.empty(), new ChangeId(change));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void record(PublishResult result, String change, Set<String> accepted, Set<String> absent) {
		if (result instanceof PublishResult.Accepted acceptance) {
			// An equal section that stood before is accepted without a new change id.
			if (acceptance.written()) {
				accepted.add(change);
			}
		}
		else if (!(result instanceof PublishResult.Unknown)) {
			absent.add(change);
		}
	}

	private Set<String> changes(StoredValue value) throws ConfigurationException {
		ConfigurationDocument document = this.format.parse("test", value.value());
		Set<String> result = new HashSet<>();
		document.product().ifPresent((section) -> result.addAll(section.header().changes()));
		document.operations().ifPresent((section) -> result.addAll(section.header().changes()));
		return result;
	}

	@Provide
	Arbitrary<List<Publish>> publishes() {
		Arbitrary<List<FakeStore.Fault>> faults = Arbitraries.of(FakeStore.Fault.values()).list().ofMaxSize(8);
		Arbitrary<Boolean> sides = Arbitraries.of(true, false);
		return Combinators.combine(sides, sides, Arbitraries.integers().between(1, 90), faults)
			.as(Publish::new)
			.list()
			.ofMaxSize(12);
	}

	/**
	 * One publish, with another that runs just before its first write.
	 */
	record Publish(boolean product, boolean concurrentProduct, int number, List<FakeStore.Fault> faults) {

	}

}
