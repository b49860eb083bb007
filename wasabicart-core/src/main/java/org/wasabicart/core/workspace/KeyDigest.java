package org.wasabicart.core.workspace;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Digest of a key. Keys are looked up and compared by their digests, so that the time of
 * a lookup does not reveal how much of a key was right, and only a request in progress
 * and the encoded configuration hold keys.
 *
 * @param high first 64 bits of the SHA-256 digest
 * @param low next 64 bits; a second key with the same 128 bits cannot be found in
 * practice
 */
public record KeyDigest(long high, long low) {

	private static final String ALGORITHM = "SHA-256";

	/**
	 * Returns whether a text can be sent as a key in a header field.
	 * @param key text
	 * @return whether the text consists of one or more visible ASCII characters
	 */
	public static boolean isKey(String key) {
		return !key.isEmpty() && key.chars().allMatch((character) -> character > ' ' && character < 0x7f);
	}

	/**
	 * Returns the digest of a key.
	 * @param key key
	 * @return the digest
	 */
	public static KeyDigest of(String key) {
		try {
			ByteBuffer digest = ByteBuffer
				.wrap(MessageDigest.getInstance(ALGORITHM).digest(key.getBytes(StandardCharsets.UTF_8)));
			return new KeyDigest(digest.getLong(), digest.getLong());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform must provide " + ALGORITHM, ex);
		}
	}

	/**
	 * Returns a text without the digest, which would allow to test guessed keys.
	 * @return the text
	 */
	@Override
	public String toString() {
		return "KeyDigest";
	}

}
