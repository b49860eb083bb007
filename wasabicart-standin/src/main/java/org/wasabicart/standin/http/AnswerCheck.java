package org.wasabicart.standin.http;

/**
 * Result of the check of an answer's body.
 */
public enum AnswerCheck {

	/** The whole answer to the request. */
	COMPLETE,

	/** Part of an answer. */
	PARTIAL,

	/** Another request's answer, or altered. */
	WRONG

}
