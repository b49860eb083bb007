package org.wasabicart.standin.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Creates and checks the bodies of the backend servers' answers. The root request id, the
 * path and the length determine every byte, so that a caller can distinguish the complete
 * answer to its own request from any other body.
 */
public final class Answers {

	private static final String FIRST_FIELD = "wasabicart-answer";

	private Answers() {
	}

	/**
	 * Creates the body of an answer.
	 * @param requestId root request id
	 * @param path path of the request, without its query
	 * @param length length in bytes, raised to that of the first line if it is shorter
	 * @return the body
	 */
	public static byte[] create(String requestId, String path, int length) {
		String digest = digest(requestId, path);
		String prefix = FIRST_FIELD + " " + requestId + " " + path + " " + digest + " ";
		// The length is padded to ten digits, so that the first line, which contains it,
		// has the same length for each value; the eleventh byte is the line feed.
		int bodyLength = Math.max(length, prefix.length() + 11);
		byte[] body = new byte[bodyLength];
		byte[] firstLine = (prefix + String.format("%010d", bodyLength) + "\n").getBytes(StandardCharsets.UTF_8);
		byte[] filler = digest.getBytes(StandardCharsets.US_ASCII);
		for (int position = 0; position < bodyLength; position++) {
			body[position] = (position < firstLine.length) ? firstLine[position] : filler[position % filler.length];
		}
		return body;
	}

	/**
	 * Checks whether a body is the complete answer to a request.
	 * @param body received body
	 * @param requestId root request id that was sent
	 * @param path path that was requested, without its query
	 * @return the result of the check
	 */
	public static AnswerCheck check(byte[] body, String requestId, String path) {
		int lineEnd = 0;
		while (lineEnd < body.length && body[lineEnd] != '\n') {
			lineEnd++;
		}
		String[] fields = new String(body, 0, lineEnd, StandardCharsets.UTF_8).split(" ");
		if (fields.length != 5 || !fields[0].equals(FIRST_FIELD) || lineEnd == body.length) {
			return AnswerCheck.PARTIAL;
		}
		if (!fields[1].equals(requestId) || !fields[2].equals(path)) {
			return AnswerCheck.WRONG;
		}
		int declaredLength = Integer.parseInt(fields[4]);
		if (body.length < declaredLength) {
			return AnswerCheck.PARTIAL;
		}
		return Arrays.equals(body, create(requestId, path, declaredLength)) ? AnswerCheck.COMPLETE : AnswerCheck.WRONG;
	}

	private static String digest(String requestId, String path) {
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			byte[] digest = sha256.digest((requestId + "\n" + path).getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
