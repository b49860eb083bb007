package org.wasabicart.core.admission;

import org.wasabicart.core.model.Outcome;

/**
 * Receives the decision on one offered call.
 */
public interface AdmissionListener {

	/**
	 * The call may run now.
	 * @param permit permit to pass to {@link AdmissionController#finished} when the call
	 * has ended
	 */
	void admitted(AdmissionPermit permit);

	/**
	 * The call does not run.
	 * @param refusal reason for the refusal and retry hint
	 */
	void refused(Outcome.Refused refusal);

}
