package org.wasabicart.core.membership;

import java.util.Objects;

import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeId;

/**
 * Change of one member, as nodes send it to each other.
 */
public sealed interface MemberUpdate {

	/**
	 * Returns the member that the update is about.
	 * @return node
	 */
	NodeId id();

	/**
	 * Returns the process instance that the update is about.
	 * @return instance
	 */
	InstanceNumber instance();

	/**
	 * Returns the incarnation that the update is about. A member raises its incarnation
	 * when it announces a changed record or refutes a suspicion or removal.
	 * @return incarnation
	 */
	long incarnation();

	/**
	 * Announcement by the member itself; the only update with a full record.
	 *
	 * @param member record
	 * @param incarnation incarnation of the record
	 */
	record Announced(Member member, long incarnation) implements MemberUpdate {

		public Announced {
			Objects.requireNonNull(member, "member");
		}

		@Override
		public NodeId id() {
			return this.member.id();
		}

		@Override
		public InstanceNumber instance() {
			return this.member.instance();
		}

	}

	/**
	 * Suspicion of a member that did not answer probes. The member is removed unless it
	 * refutes the suspicion in time.
	 *
	 * @param id suspected node
	 * @param instance suspected process instance
	 * @param incarnation suspected incarnation
	 * @param ageMilliseconds time since the suspicion was raised, so that all nodes
	 * remove the member at about the same time
	 */
	record Suspected(NodeId id, InstanceNumber instance, long incarnation,
			int ageMilliseconds) implements MemberUpdate {

		public Suspected {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(instance, "instance");
			if (ageMilliseconds < 0) {
				throw new IllegalArgumentException("Age is negative: " + ageMilliseconds);
			}
		}

	}

	/**
	 * Removal of a member that left or did not refute a suspicion.
	 *
	 * @param id removed node
	 * @param instance removed process instance
	 * @param incarnation removed incarnation
	 */
	record Removed(NodeId id, InstanceNumber instance, long incarnation) implements MemberUpdate {

		public Removed {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(instance, "instance");
		}

	}

}
