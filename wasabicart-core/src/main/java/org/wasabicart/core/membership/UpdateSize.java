package org.wasabicart.core.membership;

import org.wasabicart.core.model.Member;

/**
 * Upper bounds of encoded sizes, by which messages are kept within a datagram.
 */
final class UpdateSize {

	/** Tags and lengths of all fields, and the largest encodings of its numbers. */
	private static final int ANNOUNCED_OVERHEAD = 64;

	private static final int OTHER_OVERHEAD = 40;

	private UpdateSize() {
	}

	static int of(MemberUpdate update) {
		if (update instanceof MemberUpdate.Announced announced) {
			Member member = announced.member();
			return ANNOUNCED_OVERHEAD + member.id().value().length() + member.service().value().length()
					+ member.failureDomain().value().length() + member.region().value().length()
					+ member.address().host().length();
		}
		return OTHER_OVERHEAD + update.id().value().length();
	}

}
