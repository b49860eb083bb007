package org.wasabicart.mesh;

/**
 * Header names for tests.
 */
final class TestHeaders {

	static final CallHeaders NAMES = new CallHeaders("Id", "Deadline", "Expected", "Caller", "Not-Run", "Signature");

	private TestHeaders() {
	}

}
