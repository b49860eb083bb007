package org.wasabicart.standin.http;

/**
 * Result of the check of an answer's body.
 */
public enum AnswerCheck {

	/** The complete answer to the request. */
	COMPLETE,

	/** An incomplete answer, or a body whose first line is not that of an answer. */
	PARTIAL,

	/** The answer to another request, or an altered answer. */
	WRONG

}
