package org.wasabicart.core.admission;

import java.util.ArrayList;
import java.util.List;

import org.wasabicart.core.model.Outcome;

/**
 * Decisions made under the controller's lock, passed to the listeners after its release.
 */
final class PendingDecisions {

	private final List<Runnable> notifications = new ArrayList<>(2);

	void admitted(AdmissionListener listener, AdmissionPermit permit) {
		this.notifications.add(() -> listener.admitted(permit));
	}

	void refused(AdmissionListener listener, Outcome.Refused refusal) {
		this.notifications.add(() -> listener.refused(refusal));
	}

	void notifyListeners() {
		this.notifications.forEach(Runnable::run);
	}

}
