package org.wasabicart.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;

/**
 * Chooses the contact nodes of a failure domain by rendezvous hashing. Contact nodes
 * publish their addresses in the store, through which other nodes join or reconnect after
 * a partition. Nodes with equal views choose the same ones, and a change of one member
 * replaces at most one of them.
 */
public final class ContactChoice {

	/** Contact nodes in each failure domain. */
	public static final int CONTACTS_PER_FAILURE_DOMAIN = 2;

	private ContactChoice() {
	}

	/**
	 * Chooses the contact nodes.
	 * @param members members of the view
	 * @param failureDomain failure domain
	 * @return at most {@value #CONTACTS_PER_FAILURE_DOMAIN} members; draining ones are
	 * chosen only if there are no others
	 */
	public static List<Member> choose(Collection<Member> members, FailureDomain failureDomain) {
		List<Member> candidates = new ArrayList<>();
		for (Member member : members) {
			if (member.failureDomain().equals(failureDomain)) {
				candidates.add(member);
			}
		}
		candidates.sort(Comparator.<Member>comparingInt((member) -> isDraining(member) ? 1 : 0)
			.thenComparingLong((member) -> weight(failureDomain, member)));
		return List.copyOf(candidates.subList(0, Math.min(CONTACTS_PER_FAILURE_DOMAIN, candidates.size())));
	}

	private static boolean isDraining(Member member) {
		return member.state() == MemberState.DRAINING;
	}

	private static long weight(FailureDomain failureDomain, Member member) {
		String key = failureDomain.value() + '/' + member.id().value();
		return MurmurHash3.hash128x64(key.getBytes(StandardCharsets.UTF_8))[0];
	}

}
