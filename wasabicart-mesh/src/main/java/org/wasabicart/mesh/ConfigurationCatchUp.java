package org.wasabicart.mesh;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * Obtains a newer configuration that another node has reported: from the store, or, if
 * the store does not have it or cannot be reached, from the nodes that reported it. A
 * store that has returned from an older copy may lack the newest configuration.
 */
final class ConfigurationCatchUp {

	/** Nodes that are asked for one version; all of them have the same value. */
	private static final int MAXIMUM_SOURCES = 3;

	private final LongPredicate newer;

	private final Consumer<Runnable> delay;

	private final Consumer<Runnable> readStore;

	private final Consumer<byte[]> valueListener;

	private final Runnable findSources;

	private final Deque<Report> reports = new ArrayDeque<>();

	private boolean inProgress;

	private boolean sourceAsked;

	private long latestVersion;

	/**
	 * Creates an instance.
	 * @param newer returns whether a version is newer than the one in force
	 * @param delay runs its argument after the time in which the watch of this node
	 * usually delivers a version that other nodes have
	 * @param readStore reads and applies the configuration of the store, and runs its
	 * argument at the end, also after a failure
	 * @param valueListener receives a configuration of another node
	 * @param findSources asks other nodes for their versions, since no node that can be
	 * read has reported a newer one
	 */
	ConfigurationCatchUp(LongPredicate newer, Consumer<Runnable> delay, Consumer<Runnable> readStore,
			Consumer<byte[]> valueListener, Runnable findSources) {
		this.newer = Objects.requireNonNull(newer, "newer");
		this.delay = Objects.requireNonNull(delay, "delay");
		this.readStore = Objects.requireNonNull(readStore, "readStore");
		this.valueListener = Objects.requireNonNull(valueListener, "valueListener");
		this.findSources = Objects.requireNonNull(findSources, "findSources");
	}

	/**
	 * Processes the version that is in force at a node that can be read.
	 * @param version version
	 * @param source other node
	 */
	void versionReported(long version, ConfigurationSource source) {
		if (!this.newer.test(version)) {
			return;
		}
		if (this.reports.size() == MAXIMUM_SOURCES) {
			this.reports.removeFirst();
		}
		this.reports.addLast(new Report(version, source));
		versionReported(version);
	}

	/**
	 * Processes the version that is in force at a node that cannot be read.
	 * @param version version
	 */
	void versionReported(long version) {
		if (this.newer.test(version) && !this.inProgress) {
			this.inProgress = true;
			this.sourceAsked = false;
			this.latestVersion = version;
			this.delay.accept(this::readNewest);
		}
	}

	private void readNewest() {
		if (this.newer.test(this.latestVersion)) {
			this.readStore.accept(this::readNextSource);
		}
		else {
			readNextSource();
		}
	}

	private void readNextSource() {
		Report report = this.reports.pollLast();
		while (report != null && !this.newer.test(report.version)) {
			report = this.reports.pollLast();
		}
		if (report == null) {
			this.inProgress = false;
			if (!this.sourceAsked && this.newer.test(this.latestVersion)) {
				this.findSources.run();
			}
			return;
		}
		this.sourceAsked = true;
		report.source.read((value) -> {
			if (value != null) {
				this.valueListener.accept(value);
			}
			readNextSource();
		});
	}

	private record Report(long version, ConfigurationSource source) {

	}

}
