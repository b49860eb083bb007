package org.wasabicart.core.membership;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.NodeId;

/**
 * Live member of a {@link MemberTable}. Mutable and not thread-safe.
 */
final class MemberEntry {

	private static final long INSTANCE_FACTOR = 0x9E3779B97F4A7C15L;

	private static final long INCARNATION_FACTOR = 0xC2B2AE3D27D4EB4FL;

	final long position;

	Member member;

	long incarnation;

	boolean suspected;

	boolean suspectedLocally;

	long suspectedSince;

	MemberEntry(Member member, long incarnation) {
		this.position = position(member.id());
		this.member = member;
		this.incarnation = incarnation;
	}

	static long position(NodeId id) {
		return MurmurHash3.hash128x64(id.value().getBytes(StandardCharsets.UTF_8))[0];
	}

	static int bucket(long position) {
		return (int) (position >>> 1) & (MemberTable.BUCKET_COUNT - 1);
	}

	// Combines position, instance and incarnation, and mixes them like SplitMix64.
	long hash() {
		long mixed = this.position ^ (this.member.instance().value() * INSTANCE_FACTOR)
				^ (this.incarnation * INCARNATION_FACTOR);
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

	NodeId id() {
		return this.member.id();
	}

	InstanceNumber instance() {
		return this.member.instance();
	}

	MemberUpdate.Announced announcement() {
		return new MemberUpdate.Announced(this.member, this.incarnation);
	}

	MemberUpdate.Removed removal() {
		return new MemberUpdate.Removed(id(), instance(), this.incarnation);
	}

	MemberUpdate.Suspected suspicion(long now) {
		int age = (int) Math.max(0, (now - this.suspectedSince) / 1_000_000);
		return new MemberUpdate.Suspected(id(), instance(), this.incarnation, age);
	}

}
