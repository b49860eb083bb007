package org.wasabicart.node.baseline;

import java.util.Optional;

import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.Outcome;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.routing.EarlyRefusal;

/**
 * Baseline for comparison: refuses nothing early.
 */
public final class NoEarlyRefusal implements EarlyRefusal {

	@Override
	public Optional<Outcome.Refused> check(RequestContext context) {
		return Optional.empty();
	}

	@Override
	public void learn(KindName kind, ServiceName service, int threshold) {
	}

}
