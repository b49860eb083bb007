package org.wasabicart.core.membership;

import org.wasabicart.core.model.Member;

/**
 * Upper bounds of the encoded sizes of updates, used to fit a message in a datagram.
 */
final class UpdateSize {

	/** Tags and lengths of all fields, and the largest encodings of the numbers. */
	private static final int ANNOUNCED_OVERHEAD_BYTES = 64;

	private static final int OTHER_OVERHEAD_BYTES = 40;

	private UpdateSize() {
	}

	static int of(MemberUpdate update) {
		if (update instanceof MemberUpdate.Announced announced) {
			Member member = announced.member();
			return ANNOUNCED_OVERHEAD_BYTES + member.id().value().length() + member.service().value().length()
					+ member.failureDomain().value().length() + member.region().value().length()
					+ member.address().host().length();
		}
		return OTHER_OVERHEAD_BYTES + update.id().value().length();
	}

}
