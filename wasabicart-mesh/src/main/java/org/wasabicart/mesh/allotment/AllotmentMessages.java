package org.wasabicart.mesh.allotment;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.wasabicart.core.allotment.AllotmentDemand;
import org.wasabicart.core.allotment.AllotmentGrant;
import org.wasabicart.core.allotment.AllotmentReport;
import org.wasabicart.core.allotment.AllotmentTokens;
import org.wasabicart.core.workspace.WorkspaceName;
import org.wasabicart.wire.generated.mesh.MeshAllotmentDemand;
import org.wasabicart.wire.generated.mesh.MeshAllotmentGrant;
import org.wasabicart.wire.generated.mesh.MeshAllotmentReport;
import org.wasabicart.wire.generated.mesh.MeshAllotmentTokens;

/**
 * Converts reports and grants to and from messages. Entries that are not valid are left
 * out, and at most {@link AllotmentReport#MAXIMUM_DEMANDS} of a message are read.
 */
final class AllotmentMessages {

	/** Numbers above this one are not valid; no node counts as many requests in 1 s. */
	private static final int MAXIMUM_TOKENS = 1_000_000;

	private AllotmentMessages() {
	}

	static MeshAllotmentReport toMessage(AllotmentReport report) {
		MeshAllotmentReport.Builder message = MeshAllotmentReport.newBuilder()
			.setSequence(report.sequence())
			.setSession(report.session())
			.setAcknowledged(report.acknowledged())
			.setCounted(report.counted())
			.setLeaving(report.leaving());
		report.demands()
			.forEach((demand) -> message.addDemands(MeshAllotmentDemand.newBuilder()
				.setWorkspace(demand.workspace().value())
				.setWanted(demand.wanted())
				.setHeld(demand.held())
				.setSpent(demand.spent())));
		report.handover().forEach((tokens) -> message.addHandover(toMessage(tokens)));
		return message.build();
	}

	static Optional<AllotmentReport> toReport(MeshAllotmentReport message) {
		List<AllotmentDemand> demands = new ArrayList<>();
		for (int i = 0; i < Math.min(message.getDemandsCount(), AllotmentReport.MAXIMUM_DEMANDS); i++) {
			MeshAllotmentDemand demand = message.getDemands(i);
			if (inRange(demand.getWanted()) && inRange(demand.getHeld()) && demand.getSpent() >= 0) {
				name(demand.getWorkspace()).ifPresent((workspace) -> demands
					.add(new AllotmentDemand(workspace, demand.getWanted(), demand.getHeld(), demand.getSpent())));
			}
		}
		try {
			return Optional.of(new AllotmentReport(message.getSequence(), message.getSession(),
					message.getAcknowledged(), message.getCounted(), message.getLeaving(), demands,
					toTokens(message.getHandoverList(), AllotmentReport.MAXIMUM_DEMANDS)));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	static MeshAllotmentGrant toMessage(AllotmentGrant grant) {
		MeshAllotmentGrant.Builder message = MeshAllotmentGrant.newBuilder()
			.setSequence(grant.sequence())
			.setStopping(grant.stopping());
		grant.tokens().forEach((tokens) -> message.addTokens(toMessage(tokens)));
		return message.build();
	}

	private static MeshAllotmentTokens toMessage(AllotmentTokens tokens) {
		return MeshAllotmentTokens.newBuilder()
			.setWorkspace(tokens.workspace().value())
			.setTokens(tokens.tokens())
			.setCredits(tokens.credits())
			.setWaitMilliseconds((int) TimeUnit.NANOSECONDS.toMillis(tokens.waitNanoseconds()))
			.build();
	}

	static Optional<AllotmentGrant> toGrant(MeshAllotmentGrant message) {
		if (message.getSequence() < 0) {
			return Optional.empty();
		}
		// A grant may name workspaces beyond those of the report.
		return Optional.of(new AllotmentGrant(message.getSequence(), message.getStopping(),
				toTokens(message.getTokensList(), 2 * AllotmentReport.MAXIMUM_DEMANDS)));
	}

	private static List<AllotmentTokens> toTokens(List<MeshAllotmentTokens> messages, int maximum) {
		List<AllotmentTokens> all = new ArrayList<>();
		for (MeshAllotmentTokens tokens : messages.subList(0, Math.min(messages.size(), maximum))) {
			if (inRange(tokens.getTokens()) && inRange(tokens.getCredits()) && inRange(tokens.getWaitMilliseconds())) {
				int credits = Math.min(AllotmentTokens.MAXIMUM_CREDITS, tokens.getCredits());
				name(tokens.getWorkspace()).ifPresent((workspace) -> all.add(new AllotmentTokens(workspace,
						tokens.getTokens(), credits, TimeUnit.MILLISECONDS.toNanos(tokens.getWaitMilliseconds()))));
			}
		}
		return all;
	}

	private static boolean inRange(int value) {
		return value >= 0 && value <= MAXIMUM_TOKENS;
	}

	private static Optional<WorkspaceName> name(String value) {
		try {
			return Optional.of(new WorkspaceName(value));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
