package org.wasabicart.core.model;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Priority of a call: importance, then nested calls before root requests, then the hash
 * bucket of the root request id. All hops compute the same bucket for a root request, so
 * that under overload they admit and refuse the same requests.
 */
public final class Priority {

	/** Number of hash buckets within one importance. */
	public static final int BUCKETS = 256;

	/** Number of priorities within one importance: root requests, then nested calls. */
	public static final int LEVELS_PER_IMPORTANCE = 2 * BUCKETS;

	/** Number of priorities; the highest priority is one less. */
	public static final int LEVELS = (RequestKind.MAXIMUM_IMPORTANCE + 1) * LEVELS_PER_IMPORTANCE;

	private Priority() {
	}

	/**
	 * Computes the priority of a call.
	 * @param importance 0 to 100
	 * @param nested whether the call is made while its root request is running
	 * @param root root request
	 * @return the priority, 0 to {@link #LEVELS} - 1
	 */
	public static int of(int importance, boolean nested, RequestId root) {
		return importance * LEVELS_PER_IMPORTANCE + (nested ? BUCKETS : 0) + bucket(root);
	}

	/**
	 * Returns the hash bucket of a root request.
	 * @param root root request
	 * @return the bucket, 0 to 255
	 */
	public static int bucket(RequestId root) {
		byte[] bytes = root.value().getBytes(StandardCharsets.US_ASCII);
		return MurmurHash3.hash32x86(bytes) & (BUCKETS - 1);
	}

}
