package org.wasabicart.core.admission;

import java.util.ArrayList;
import java.util.List;

import org.wasabicart.core.model.Outcome;

/**
 * Decisions taken under the controller's lock, announced after its release.
 */
final class Decisions {

	private final List<Runnable> announcements = new ArrayList<>(2);

	void admitted(AdmissionListener listener, AdmissionPermit permit) {
		this.announcements.add(() -> listener.admitted(permit));
	}

	void refused(AdmissionListener listener, Outcome.Refused refusal) {
		this.announcements.add(() -> listener.refused(refusal));
	}

	void announce() {
		this.announcements.forEach(Runnable::run);
	}

}
