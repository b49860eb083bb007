package org.wasabicart.node.membership;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.membership.ContactChoice;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.Revision;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.store.StoreClient;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Obtains the configuration: a relay watches it in the store, and all nodes pull newer
 * revisions from peers. Also maintains the contact entry of a contact node. The nodes
 * that {@link ContactChoice} chooses have both roles. All methods except {@link #answer}
 * are invoked on the executor's thread.
 */
public final class ConfigurationDistribution {

	/**
	 * Delay before a chosen node takes on its roles: a view that has just changed can
	 * still select too many or the wrong nodes.
	 */
	private static final long ROLE_STABILITY_DELAY_NANOSECONDS = 2_000_000_000L;

	/** Delay after its start before a node without peers takes on both roles. */
	private static final long ISOLATION_DELAY_NANOSECONDS = 5_000_000_000L;

	private final Member local;

	private final Ticker ticker;

	private final ConfigurationAdopter adopter;

	private final ConfigurationPull pull;

	private final Optional<RelayWatch> watch;

	private final Optional<ContactEntries> entries;

	private final long startTime;

	private List<Member> members = List.of();

	private boolean chosen;

	private long chosenChangeTime;

	/**
	 * Creates the distribution for a node that has no configuration.
	 * @param local local node
	 * @param store store, if the node has one
	 * @param transport transport to peers
	 * @param sink puts configurations in force
	 * @param contacts receives the addresses of contact nodes
	 * @param ticker monotonic clock
	 * @param random random source
	 * @param executor runs the completions of calls, one at a time
	 */
	public ConfigurationDistribution(Member local, Optional<StoreClient> store, PeerTransport transport,
			ConfigurationSink sink, Consumer<Collection<NodeAddress>> contacts, Ticker ticker, RandomGenerator random,
			Executor executor) {
		this.local = Objects.requireNonNull(local, "local");
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.adopter = new ConfigurationAdopter(sink);
		this.pull = new ConfigurationPull(this.adopter, transport, ticker, executor);
		this.watch = store.map((client) -> new RelayWatch(client, this.adopter, ticker, random, executor));
		this.entries = store.map((client) -> new ContactEntries(client, local.id(), local.address(), ticker, random,
				executor, contacts, this::restartWatch));
		this.startTime = ticker.nanoseconds();
		this.chosenChangeTime = this.startTime;
	}

	/**
	 * Starts the store calls and pulls that are due. Called several times per second.
	 * @param view current members
	 */
	public void tick(Collection<Member> view) {
		// An unchanged view is the same immutable list, which List.copyOf returns.
		if (view != this.members) {
			updateChosen(List.copyOf(view));
		}
		long now = this.ticker.nanoseconds();
		boolean isolated = view.size() <= 1;
		boolean rolesStable = isolated ? now - this.startTime >= ISOLATION_DELAY_NANOSECONDS
				: now - this.chosenChangeTime >= ROLE_STABILITY_DELAY_NANOSECONDS;
		boolean hasRoles = this.chosen && rolesStable;
		this.entries.ifPresent((contactEntries) -> contactEntries.tick(hasRoles, isolated));
		this.watch.ifPresent((relay) -> relay.tick(hasRoles));
		this.pull.pullIfDue();
	}

	private void restartWatch() {
		this.watch.ifPresent(RelayWatch::restart);
	}

	private void updateChosen(List<Member> view) {
		this.members = view;
		NodeId id = this.local.id();
		boolean nowChosen = ContactChoice.choose(view, this.local.failureDomain())
			.stream()
			.anyMatch((member) -> member.id().equals(id));
		if (nowChosen != this.chosen) {
			this.chosen = nowChosen;
			this.chosenChangeTime = this.ticker.nanoseconds();
		}
	}

	/**
	 * Records that a peer has a newer revision.
	 * @param peer advertised address
	 * @param revision its revision
	 */
	public void recordNewerRevision(NodeAddress peer, Revision revision) {
		boolean sameRegion = this.members.stream()
			.anyMatch((member) -> member.address().equals(peer) && member.region().equals(this.local.region()));
		this.pull.recordRevision(peer, revision, sameRegion);
	}

	/**
	 * Answers a request of a peer for a newer configuration. Safe for use by several
	 * threads.
	 * @param request request with the revision of the peer
	 * @return the configuration, or an empty response if there is nothing newer
	 */
	public ControlResponse answer(ControlRequest request) {
		return this.pull.answer(request);
	}

	/**
	 * Returns the revision in force.
	 * @return revision; zero if none has been adopted
	 */
	public Revision inForce() {
		return this.adopter.current().revision();
	}

	/**
	 * Cancels the watch and revokes the lease of the contact entry.
	 */
	public void close() {
		this.watch.ifPresent(RelayWatch::stop);
		this.entries.ifPresent(ContactEntries::close);
	}

}
