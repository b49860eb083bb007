package org.wasabicart.mesh;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a node that stays behind although another node has a newer
 * configuration, and against calls to the store without need.
 */
class ConfigurationCatchUpTests {

	private final List<String> events = new ArrayList<>();

	private long inForce = 1;

	private long stored = 1;

	private Runnable storeCallEnd;

	private boolean delayed;

	private Runnable delayedTask;

	private final ConfigurationCatchUp catchUp = new ConfigurationCatchUp((version) -> version > this.inForce,
			(task) -> {
				if (this.delayed) {
					this.delayedTask = task;
				}
				else {
					task.run();
				}
			}, (end) -> {
				this.events.add("store");
				this.storeCallEnd = end;
			}, (value) -> this.inForce = Math.max(this.inForce, value[0]), () -> this.events.add("find"));

	private ConfigurationSource source(String name, int version) {
		return (listener) -> {
			this.events.add(name);
			listener.accept((version > 0) ? new byte[] { (byte) version } : null);
		};
	}

	private void endStoreCall() {
		this.inForce = Math.max(this.inForce, this.stored);
		this.storeCallEnd.run();
	}

	@Test
	void configurationOfTheStoreIsPreferred() {
		this.stored = 2;
		this.catchUp.versionReported(2, source("a", 2));
		endStoreCall();
		assertThat(this.events).containsExactly("store");
	}

	@Test
	void sourceIsReadIfTheStoreHasAnOlderConfiguration() {
		this.catchUp.versionReported(2, source("a", 2));
		endStoreCall();
		assertThat(this.inForce).isEqualTo(2);
	}

	@Test
	void nextSourceIsReadAfterAFailure() {
		this.catchUp.versionReported(2, source("a", 2));
		this.catchUp.versionReported(2, source("b", 0));
		endStoreCall();
		assertThat(this.events).containsExactly("store", "b", "a");
		assertThat(this.inForce).isEqualTo(2);
	}

	@Test
	void versionThatTheWatchDeliversInTheMeantimeCausesNoCall() {
		this.delayed = true;
		this.catchUp.versionReported(2, source("a", 2));
		this.inForce = 2;
		this.delayedTask.run();
		assertThat(this.events).isEmpty();
		this.catchUp.versionReported(3, source("b", 3));
		this.delayedTask.run();
		endStoreCall();
		assertThat(this.events).containsExactly("store", "b");
	}

	@Test
	void versionInForceCausesNoCall() {
		this.catchUp.versionReported(1, source("a", 1));
		assertThat(this.events).isEmpty();
	}

	@Test
	void sourcesAreSearchedForAVersionThatOnlyANodeWithoutLinkHasReported() {
		this.catchUp.versionReported(2);
		endStoreCall();
		assertThat(this.events).containsExactly("store", "find");
		this.catchUp.versionReported(2, source("a", 0));
		endStoreCall();
		assertThat(this.events).containsExactly("store", "find", "store", "a");
	}

}
