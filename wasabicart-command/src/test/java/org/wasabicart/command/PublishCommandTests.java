package org.wasabicart.command;

import java.net.InetSocketAddress;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.wasabicart.standin.store.StoreFaults;
import org.wasabicart.standin.store.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against untrue reports of the publish command, over the store's HTTP gateway.
 */
class PublishCommandTests {

	private static final String FILE = "../examples/kleinhans.json";

	private final StoreStandin store = StoreStandin.start(new InetSocketAddress("127.0.0.1", 0));

	private final CommandRunner command = new CommandRunner();

	@AfterEach
	void closeStore() {
		this.store.close();
	}

	@Test
	void publishedConfigurationIsShown() throws Exception {
		assertThat(publish("first")).isZero();
		assertThat(this.command.output()).contains("accepted: revision ");
		assertThat(this.command.run("show", "--store", this.store.url())).isZero();
		assertThat(this.command.output()).contains("revision ", "design-lookup");
	}

	@Test
	void repeatedPublishIsAcceptedWithoutAnotherWrite() throws Exception {
		publish("first");
		String revision = this.command.output();
		assertThat(publish("first")).isZero();
		assertThat(this.command.output()).isEqualTo(revision);
	}

	@Test
	void lostResponseOfTheWriteIsRecognised() throws Exception {
		this.store.faults(new StoreFaults(0, false, false, 1, false));
		assertThat(publish("first")).isZero();
		assertThat(this.command.output()).contains("accepted: revision ");
	}

	@Test
	void storeThatIsDownRefuses() throws Exception {
		this.store.faults(new StoreFaults(0, true, false, 0, false));
		assertThat(publish("first")).isEqualTo(1);
		assertThat(this.command.output()).contains("nothing was written");
	}

	@Test
	void oldBaseOfTheSameSectionIsAConflictThatShowsBoth() throws Exception {
		publish("first");
		assertThat(this.command.run("publish", "--store", this.store.url(), "--base", "0", "../examples/hualien.json"))
			.isEqualTo(1);
		assertThat(this.command.output()).contains("same section was changed", "design-lookup", "shelf-count");
	}

	@Test
	void differenceListsChangedPaths() throws Exception {
		assertThat(this.command.run("difference", FILE, "../examples/hualien.json")).isZero();
		assertThat(this.command.output()).contains("$.product.kinds[design-lookup]");
	}

	@Test
	void missingStoreIsAUsageError() throws Exception {
		assertThat(this.command.run("publish", FILE)).isEqualTo(2);
	}

	private int publish(String change) throws InterruptedException {
		return this.command.run("publish", "--store", this.store.url(), "--change-id", change, FILE);
	}

}
