package org.wasabicart.mesh;

/**
 * Checks the parts of HTTP message heads. A part with a line break would end the head, so
 * that the receiver reads the rest as a body or as another message.
 */
final class HeadSyntax {

	/** Largest character that takes one byte in a head. */
	private static final char LAST_CHARACTER = 0xff;

	private static final char DELETE_CHARACTER = 0x7f;

	private HeadSyntax() {
	}

	/**
	 * Checks text that is a part of one line, such as the value of a header field.
	 * @param part name of the part, for the message of the exception
	 * @param text text
	 * @throws IllegalArgumentException if the text contains a line break, a null
	 * character or a character beyond ISO 8859-1
	 */
	static void requireLine(String part, CharSequence text) {
		for (int i = 0; i < text.length(); i++) {
			char character = text.charAt(i);
			if (endsLine(character) || character > LAST_CHARACTER) {
				throw new IllegalArgumentException(part + " contains character " + (int) character);
			}
		}
	}

	/**
	 * Checks text that is one word of a line, such as the target of a request.
	 * @param part name of the part, for the message of the exception
	 * @param text text
	 * @throws IllegalArgumentException if the text is empty or contains white space, a
	 * control character or a character beyond ISO 8859-1
	 */
	static void requireWord(String part, CharSequence text) {
		if (text.isEmpty()) {
			throw new IllegalArgumentException(part + " is empty");
		}
		for (int i = 0; i < text.length(); i++) {
			char character = text.charAt(i);
			if (character <= ' ' || character == DELETE_CHARACTER || character > LAST_CHARACTER) {
				throw new IllegalArgumentException(part + " contains character " + (int) character);
			}
		}
	}

	/**
	 * Checks a sequence of complete header lines.
	 * @param lines lines, each with its line break
	 * @throws IllegalArgumentException if a line is empty or incomplete, has no name or
	 * contains a null character or a part of a line break
	 */
	static void requireHeaderLines(byte[] lines) {
		int next = 0;
		while (next < lines.length) {
			next = requireHeaderLine(lines, next);
		}
	}

	private static int requireHeaderLine(byte[] lines, int start) {
		int colon = -1;
		for (int i = start; i < lines.length; i++) {
			if (lines[i] == ':' && colon < 0) {
				colon = i;
			}
			else if (endsLine((char) lines[i])) {
				if (lines[i] != '\r' || i + 1 == lines.length || lines[i + 1] != '\n') {
					break;
				}
				if (colon <= start || lines[start] <= ' ') {
					throw new IllegalArgumentException("Header line has no name at byte " + start);
				}
				return i + 2;
			}
		}
		throw new IllegalArgumentException("Header line is incomplete at byte " + start);
	}

	private static boolean endsLine(char character) {
		return character == '\r' || character == '\n' || character == 0;
	}

}
