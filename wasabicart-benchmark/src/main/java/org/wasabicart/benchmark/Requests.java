package org.wasabicart.benchmark;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.RequestId;
import org.wasabicart.core.model.TenantName;

/**
 * Creates request contexts of several kinds and tenants.
 */
final class Requests {

	private static final int CONTEXT_COUNT = 4096;

	private static final int IMPORTANCE_LEVELS = 101;

	private Requests() {
	}

	static RequestContext[] contexts(int kinds, int tenants) {
		RequestContext[] contexts = new RequestContext[CONTEXT_COUNT];
		for (int index = 0; index < CONTEXT_COUNT; index++) {
			int kind = index % kinds;
			contexts[index] = new RequestContext(new RequestId("request-" + index), new KindName("kind-" + kind),
					new TenantName("tenant-" + index % tenants), kind % IMPORTANCE_LEVELS, Execution.IDEMPOTENT,
					Long.MAX_VALUE / 2, 2, index % 2);
		}
		return contexts;
	}

}
