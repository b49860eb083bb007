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
 * Asks all members for the revision in force. The revisions in the member view lag, since
 * a change of the revision alone is not disseminated as a record. Safe for use by several
 * threads.
 */
public final class InForceSurvey {

	private static final int MAXIMUM_REQUESTS = 32;

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final ControlRequest REQUEST = ControlRequest.newBuilder().setRevisionQuery(true).build();

	private final NodeId self;

	private final ConfigurationHolder configuration;

	private final Supplier<Collection<Member>> members;

	private final PeerTransport transport;

	private CompletableFuture<List<Answer>> latest = CompletableFuture.completedFuture(List.of());

	/**
	 * Creates a survey.
	 * @param self local node, which is not asked over a link
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
		return round().thenApply((answers) -> count(revision, answers));
	}

	private static InForceCount count(Revision revision, List<Answer> answers) {
		long inForce = answers.stream().filter((answer) -> answer.hasInForce(revision)).count();
		List<String> unreachable = answers.stream()
			.filter((answer) -> answer.revision().isEmpty())
			.map((answer) -> answer.node().value())
			.sorted()
			.toList();
		return new InForceCount(revision.value(), answers.size(), (int) inForce, unreachable);
	}

	private synchronized CompletableFuture<List<Answer>> round() {
		if (this.latest.isDone()) {
			this.latest = startRound();
		}
		return this.latest;
	}

	private CompletableFuture<List<Answer>> startRound() {
		List<CompletableFuture<Answer>> answers = new ArrayList<>();
		for (Member member : this.members.get()) {
			// Each request waits for the one that was started 32 requests earlier.
			CompletableFuture<?> previous = (answers.size() < MAXIMUM_REQUESTS)
					? CompletableFuture.completedFuture(null) : answers.get(answers.size() - MAXIMUM_REQUESTS);
			answers.add(previous.thenCompose((ignored) -> ask(member)));
		}
		return CompletableFuture.allOf(answers.toArray(CompletableFuture<?>[]::new))
			.thenApply((ignored) -> answers.stream().map(CompletableFuture::join).toList());
	}

	private CompletableFuture<Answer> ask(Member member) {
		if (member.id().equals(this.self)) {
			long revision = this.configuration.current().revision().value();
			return CompletableFuture.completedFuture(new Answer(member.id(), OptionalLong.of(revision)));
		}
		return this.transport.ask(member.address(), REQUEST, TIMEOUT)
			.handle((response, failure) -> new Answer(member.id(),
					(failure != null) ? OptionalLong.empty() : OptionalLong.of(response.getRevisionInForce())));
	}

	private record Answer(NodeId node, OptionalLong revision) {

		boolean hasInForce(Revision wanted) {
			return this.revision.isPresent() && this.revision.getAsLong() >= wanted.value();
		}

	}

}
