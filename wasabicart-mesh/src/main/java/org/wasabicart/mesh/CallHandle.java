package org.wasabicart.mesh;

/**
 * One call on its way.
 */
@FunctionalInterface
interface CallHandle {

	/**
	 * The caller has left. The listener is not invoked any more.
	 */
	void cancel();

}
