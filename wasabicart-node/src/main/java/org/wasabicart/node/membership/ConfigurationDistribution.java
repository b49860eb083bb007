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
 * Brings the configuration from the store to the node: through its own watch while it is
 * a relay, otherwise from peers. Also holds the contact entry while the node is a contact
 * node. The same nodes have both roles. All methods but {@link #answer} are invoked on
 * the executor's thread.
 */
public final class ConfigurationDistribution {

	/** A view that has just changed can still name too many or the wrong nodes. */
	private static final long ROLE_STABILITY_NANOSECONDS = 2_000_000_000L;

	/** A node that finds no peer for this long reads the store itself. */
	private static final long ALONE_NANOSECONDS = 5_000_000_000L;

	private final Member local;

	private final Ticker ticker;

	private final ConfigurationStage stage;

	private final ConfigurationPull pull;

	private final Optional<RelayWatch> watch;

	private final Optional<ContactEntries> entries;

	private final long start;

	private List<Member> members = List.of();

	private boolean chosen;

	private long chosenSince;

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
		this.stage = new ConfigurationStage(sink);
		this.pull = new ConfigurationPull(this.stage, transport, ticker, executor);
		this.watch = store.map((client) -> new RelayWatch(client, this.stage, ticker, random, executor));
		this.entries = store.map((client) -> new ContactEntries(client, local.id(), local.address(), ticker, random,
				executor, contacts, this::distrustWatch));
		this.start = ticker.nanoseconds();
		this.chosenSince = this.start;
	}

	/**
	 * Makes the store calls and pulls that are due. To be invoked several times a second.
	 * @param view current members
	 */
	public void tick(Collection<Member> view) {
		if (view != this.members) {
			updateRole(List.copyOf(view));
		}
		long now = this.ticker.nanoseconds();
		boolean alone = view.size() <= 1;
		boolean settled = alone ? now - this.start >= ALONE_NANOSECONDS
				: now - this.chosenSince >= ROLE_STABILITY_NANOSECONDS;
		boolean contact = this.chosen && settled;
		this.entries.ifPresent((entry) -> entry.tick(contact, alone));
		this.watch.ifPresent((relay) -> relay.tick(contact));
		this.pull.pull();
	}

	private void distrustWatch() {
		this.watch.ifPresent(RelayWatch::distrust);
	}

	private void updateRole(List<Member> view) {
		this.members = view;
		NodeId id = this.local.id();
		boolean now = ContactChoice.choose(view, this.local.failureDomain())
			.stream()
			.anyMatch((member) -> member.id().equals(id));
		if (now != this.chosen) {
			this.chosen = now;
			this.chosenSince = this.ticker.nanoseconds();
		}
	}

	/**
	 * A peer has a newer revision.
	 * @param peer advertised address
	 * @param revision its revision
	 */
	public void newerRevisionSeen(NodeAddress peer, Revision revision) {
		boolean near = this.members.stream()
			.anyMatch((member) -> member.address().equals(peer) && member.region().equals(this.local.region()));
		this.pull.seen(peer, revision, near);
	}

	/**
	 * Answers a peer that asks for a newer configuration. Safe for use by several
	 * threads.
	 * @param request request with a revision
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
		return this.stage.stored().revision();
	}

	/**
	 * Ends the watch and the contact entry.
	 */
	public void close() {
		this.watch.ifPresent(RelayWatch::stop);
		this.entries.ifPresent(ContactEntries::close);
	}

}
