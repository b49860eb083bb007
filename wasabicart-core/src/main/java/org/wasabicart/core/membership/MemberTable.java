package org.wasabicart.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeId;

/**
 * Live and recently removed members. Updates of one member override each other by these
 * rules: a higher instance wins; within an instance a higher incarnation wins; within an
 * incarnation a removal overrides a suspicion, and a suspicion overrides an announcement.
 */
final class MemberTable {

	static final int BUCKET_COUNT = 128;

	private final NavigableMap<NodeId, MemberEntry> live = new TreeMap<>();

	private final Set<MemberEntry> suspected = new LinkedHashSet<>();

	private final Map<NodeId, RemovedMember> removed = new HashMap<>();

	private final int[] bucketDigests = new int[BUCKET_COUNT];

	private long digest;

	private long viewVersion;

	private long structureVersion;

	private long replacements;

	enum Effect {

		/** Nothing changed: the update is known, outdated or about an unknown member. */
		NONE,

		/** A suspicion was recorded, and the members are the same. */
		SUSPICION_RECORDED,

		/** A member was added, changed or removed. */
		VIEW_CHANGED

	}

	Effect apply(MemberUpdate update, long now) {
		if (update instanceof MemberUpdate.Announced announced) {
			return announce(announced, now);
		}
		if (update instanceof MemberUpdate.Suspected suspicion) {
			return suspect(suspicion, now);
		}
		return remove((MemberUpdate.Removed) update, now);
	}

	private Effect announce(MemberUpdate.Announced update, long now) {
		RemovedMember tombstone = this.removed.get(update.id());
		if (tombstone != null && !isNewer(update, tombstone.update())) {
			return Effect.NONE;
		}
		MemberEntry entry = this.live.get(update.id());
		if (entry == null) {
			entry = new MemberEntry(update.member(), update.incarnation());
			this.live.put(entry.id(), entry);
			toggleInDigests(entry);
			this.removed.remove(update.id());
			this.structureVersion++;
			this.viewVersion++;
			return Effect.VIEW_CHANGED;
		}
		if (!isNewer(update, entry.announcement())) {
			return Effect.NONE;
		}
		toggleInDigests(entry);
		boolean moved = !entry.member.address().equals(update.member().address())
				|| !entry.member.failureDomain().equals(update.member().failureDomain())
				|| !entry.member.region().equals(update.member().region());
		entry.member = update.member();
		entry.incarnation = update.incarnation();
		entry.suspected = false;
		this.suspected.remove(entry);
		toggleInDigests(entry);
		this.viewVersion++;
		if (moved) {
			this.structureVersion++;
		}
		return Effect.VIEW_CHANGED;
	}

	private Effect suspect(MemberUpdate.Suspected update, long now) {
		MemberEntry entry = this.live.get(update.id());
		if (entry == null || !entry.instance().equals(update.instance()) || update.incarnation() < entry.incarnation
				|| (entry.suspected && update.incarnation() == entry.incarnation)) {
			return Effect.NONE;
		}
		if (update.incarnation() != entry.incarnation) {
			toggleInDigests(entry);
			entry.incarnation = update.incarnation();
			toggleInDigests(entry);
		}
		entry.suspected = true;
		this.suspected.add(entry);
		entry.suspectedLocally = false;
		entry.suspectedSince = now - TimeUnit.MILLISECONDS.toNanos(update.ageMilliseconds());
		return Effect.SUSPICION_RECORDED;
	}

	private Effect remove(MemberUpdate.Removed update, long now) {
		MemberEntry entry = this.live.get(update.id());
		if (entry == null || compareVersion(update, entry.announcement()) < 0) {
			return Effect.NONE;
		}
		this.live.remove(update.id());
		this.suspected.remove(entry);
		toggleInDigests(entry);
		this.removed.put(update.id(), new RemovedMember(update, entry.member, now));
		this.structureVersion++;
		this.viewVersion++;
		return Effect.VIEW_CHANGED;
	}

	private static boolean isNewer(MemberUpdate update, MemberUpdate known) {
		return compareVersion(update, known) > 0;
	}

	private static int compareVersion(MemberUpdate left, MemberUpdate right) {
		int instances = left.instance().compareTo(right.instance());
		return (instances != 0) ? instances : Long.compare(left.incarnation(), right.incarnation());
	}

	// Adds an entry to the digests or takes it out again: XOR is its own inverse.
	private void toggleInDigests(MemberEntry entry) {
		long hash = entry.hash();
		this.digest ^= hash;
		this.bucketDigests[MemberEntry.bucket(entry.position)] ^= (int) (hash >>> 16);
	}

	void forgetRemovedBefore(long time) {
		this.removed.values().removeIf((member) -> member.removedAt() - time < 0);
	}

	void replaceMember(MemberEntry entry, Member member) {
		entry.member = member;
		this.replacements++;
	}

	MemberEntry find(NodeId id) {
		return this.live.get(id);
	}

	RemovedMember findRemoved(NodeId id) {
		return this.removed.get(id);
	}

	Collection<MemberEntry> entries() {
		return this.live.values();
	}

	Collection<MemberEntry> suspected() {
		return this.suspected;
	}

	Collection<MemberEntry> entriesAfter(NodeId id) {
		return this.live.tailMap(id, false).values();
	}

	List<RemovedMember> removed() {
		return new ArrayList<>(this.removed.values());
	}

	int removedCount() {
		return this.removed.size();
	}

	List<Member> members() {
		List<Member> members = new ArrayList<>(this.live.size());
		for (MemberEntry entry : this.live.values()) {
			members.add(entry.member);
		}
		return members;
	}

	int size() {
		return this.live.size();
	}

	long digest() {
		return this.digest;
	}

	List<Integer> bucketDigests() {
		List<Integer> digests = new ArrayList<>(BUCKET_COUNT);
		for (int bucketDigest : this.bucketDigests) {
			digests.add(bucketDigest);
		}
		return digests;
	}

	// Changes when a member is added or removed, and with each newer announcement.
	long viewVersion() {
		return this.viewVersion;
	}

	// Changes with each change of the view version, and with each replaced record.
	long recordVersion() {
		return this.viewVersion + this.replacements;
	}

	// Changes when a member is added or removed, or changes its address, failure domain
	// or region.
	long structureVersion() {
		return this.structureVersion;
	}

	/**
	 * Removed member, kept for {@link MembershipSettings#removedRetention()}.
	 *
	 * @param update update that removed the member
	 * @param member last known record
	 * @param removedAt time of the removal
	 */
	record RemovedMember(MemberUpdate.Removed update, Member member, long removedAt) {
	}

}
