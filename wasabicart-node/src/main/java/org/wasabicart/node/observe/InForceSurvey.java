package org.wasabicart.node.observe;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.Revision;
import org.wasabicart.node.ConfigurationHolder;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.wire.generated.link.ControlRequest;

/**
 * Queries all members for their revision in force. The revisions in the member view lag,
 * since a change of the revision alone is not announced as a change of the member; each
 * node only sends its revision with its own messages. Safe for use by several threads.
 */
public final class InForceSurvey {

	private static final int MAXIMUM_CONCURRENT_REQUESTS = 32;

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final ControlRequest REQUEST = ControlRequest.newBuilder().setRevisionQuery(true).build();

	private final NodeId self;

	private final ConfigurationHolder configuration;

	private final Supplier<Collection<Member>> members;

	private final PeerTransport transport;

	private CompletableFuture<List<MemberRevision>> latestRound = CompletableFuture.completedFuture(List.of());

	/**
	 * Creates a survey.
	 * @param self local node, which needs no request
	 * @param configuration configuration in force on the local node
	 * @param members members known to the local node
	 * @param transport transport to the other members
	 */
	public InForceSurvey(NodeId self, ConfigurationHolder configuration, Supplier<Collection<Member>> members,
			PeerTransport transport) {
		this.self = Objects.requireNonNull(self, "self");
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.members = Objects.requireNonNull(members, "members");
		this.transport = Objects.requireNonNull(transport, "transport");
	}

	/**
	 * Counts the members on which a revision or a higher one is in force. Concurrent
	 * counts share one round of requests, so that the bound on requests holds for the
	 * node as a whole.
	 * @param revision revision
	 * @return the count; completes when each member has responded or timed out
	 */
	public CompletableFuture<InForceCount> count(Revision revision) {
		return currentRound().thenApply((memberRevisions) -> count(revision, memberRevisions));
	}

	private static InForceCount count(Revision revision, List<MemberRevision> memberRevisions) {
		long inForce = memberRevisions.stream().filter((memberRevision) -> memberRevision.hasInForce(revision)).count();
		List<String> unreachable = memberRevisions.stream()
			.filter((memberRevision) -> memberRevision.revision().isEmpty())
			.map((memberRevision) -> memberRevision.node().value())
			.sorted()
			.toList();
		return new InForceCount(revision.value(), memberRevisions.size(), (int) inForce, unreachable);
	}

	private synchronized CompletableFuture<List<MemberRevision>> currentRound() {
		if (this.latestRound.isDone()) {
			this.latestRound = startRound();
		}
		return this.latestRound;
	}

	private CompletableFuture<List<MemberRevision>> startRound() {
		List<CompletableFuture<MemberRevision>> memberRevisions = new ArrayList<>();
		for (Member member : this.members.get()) {
			// Bounds the number of open requests: each request waits until the one that
			// is MAXIMUM_CONCURRENT_REQUESTS places before it has completed.
			CompletableFuture<?> previous = (memberRevisions.size() < MAXIMUM_CONCURRENT_REQUESTS)
					? CompletableFuture.completedFuture(null)
					: memberRevisions.get(memberRevisions.size() - MAXIMUM_CONCURRENT_REQUESTS);
			memberRevisions.add(previous.thenCompose((ignored) -> queryMember(member)));
		}
		return CompletableFuture.allOf(memberRevisions.toArray(CompletableFuture<?>[]::new))
			.thenApply((ignored) -> memberRevisions.stream().map(CompletableFuture::join).toList());
	}

	private CompletableFuture<MemberRevision> queryMember(Member member) {
		if (member.id().equals(this.self)) {
			long revision = this.configuration.current().revision().value();
			return CompletableFuture.completedFuture(new MemberRevision(member.id(), OptionalLong.of(revision)));
		}
		return this.transport.sendControlRequest(member.address(), REQUEST, TIMEOUT)
			.handle((response, failure) -> new MemberRevision(member.id(),
					(failure != null) ? OptionalLong.empty() : OptionalLong.of(response.getRevisionInForce())));
	}

	private record MemberRevision(NodeId node, OptionalLong revision) {

		boolean hasInForce(Revision wanted) {
			return this.revision.isPresent() && this.revision.getAsLong() >= wanted.value();
		}

	}

}
