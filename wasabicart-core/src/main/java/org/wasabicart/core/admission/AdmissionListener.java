package org.wasabicart.core.admission;

import org.wasabicart.core.model.Outcome;

/**
 * Receives the decision on one offered call.
 */
public interface AdmissionListener {

	/**
	 * The call may run now.
	 * @param permit to be given back when the call has ended
	 */
	void admitted(AdmissionPermit permit);

	/**
	 * The call does not run.
	 * @param refusal reason and retry hint
	 */
	void refused(Outcome.Refused refusal);

}
