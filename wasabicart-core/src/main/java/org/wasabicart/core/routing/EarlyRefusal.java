package org.wasabicart.core.routing;

import java.util.Optional;

import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;

/**
 * Refuses calls at the entry node that a deeper service would refuse, by the admission
 * thresholds that answers carry. Implementations are safe for use by several threads.
 */
public interface EarlyRefusal {

	/**
	 * Compares the priority of a call with the known thresholds of the services that
	 * calls of its kind reach.
	 * @param context context of the call
	 * @return a refusal, or empty if the call may go on
	 */
	Optional<Outcome.Refused> check(RequestContext context);

	/**
	 * Records that a call of a kind reached a service, and the threshold that the service
	 * reported in the answer.
	 * @param kind kind of the answered call
	 * @param service service that the call reached
	 * @param threshold lowest priority that the service admits
	 */
	void recordThreshold(KindName kind, ServiceName service, int threshold);

}
