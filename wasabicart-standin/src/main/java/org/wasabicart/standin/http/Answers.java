package org.wasabicart.standin.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Bodies of the backend servers' answers. The whole body follows from the root request
 * id, the path and the length, so that a checker can tell a complete answer to its own
 * request from every other one.
 */
public final class Answers {

	private static final String MARK = "wasabicart-answer";

	private Answers() {
	}

	/**
	 * Creates the body of an answer.
	 * @param requestId root request id
	 * @param path path of the request, without its query
	 * @param length wanted length in bytes; a shorter one than the first line needs is
	 * extended
	 * @return the body
	 */
	public static byte[] create(String requestId, String path, int length) {
		String digest = digest(requestId, path);
		String fixed = MARK + " " + requestId + " " + path + " " + digest + " ";
		// Ten digits keep the first line's length independent of the stated length.
		int total = Math.max(length, fixed.length() + 11);
		byte[] body = new byte[total];
		byte[] first = (fixed + String.format("%010d", total) + "\n").getBytes(StandardCharsets.UTF_8);
		byte[] filler = digest.getBytes(StandardCharsets.US_ASCII);
		for (int position = 0; position < total; position++) {
			body[position] = (position < first.length) ? first[position] : filler[position % filler.length];
		}
		return body;
	}

	/**
	 * Checks that a body is the whole answer to a request.
	 * @param body body that arrived
	 * @param requestId root request id that was sent
	 * @param path path that was requested, without its query
	 * @return what arrived
	 */
	public static AnswerCheck check(byte[] body, String requestId, String path) {
		int lineEnd = 0;
		while (lineEnd < body.length && body[lineEnd] != '\n') {
			lineEnd++;
		}
		String[] fields = new String(body, 0, lineEnd, StandardCharsets.UTF_8).split(" ");
		if (fields.length != 5 || !fields[0].equals(MARK) || lineEnd == body.length) {
			return AnswerCheck.PARTIAL;
		}
		if (!fields[1].equals(requestId) || !fields[2].equals(path)) {
			return AnswerCheck.WRONG;
		}
		int stated = Integer.parseInt(fields[4]);
		if (body.length < stated) {
			return AnswerCheck.PARTIAL;
		}
		return Arrays.equals(body, create(requestId, path, stated)) ? AnswerCheck.COMPLETE : AnswerCheck.WRONG;
	}

	private static String digest(String requestId, String path) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			byte[] digest = sha.digest((requestId + "\n" + path).getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
