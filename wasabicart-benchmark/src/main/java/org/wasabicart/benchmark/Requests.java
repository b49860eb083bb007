package org.wasabicart.benchmark;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.RequestId;
import org.wasabicart.core.model.TenantName;

/**
 * Contexts of different kinds and tenants for benchmarks.
 */
final class Requests {

	private static final int COUNT = 4096;

	private static final int IMPORTANCES = 101;

	private Requests() {
	}

	static RequestContext[] contexts(int kinds, int tenants) {
		RequestContext[] contexts = new RequestContext[COUNT];
		for (int index = 0; index < COUNT; index++) {
			int kind = index % kinds;
			contexts[index] = new RequestContext(new RequestId("request-" + index), new KindName("kind-" + kind),
					new TenantName("tenant-" + index % tenants), kind % IMPORTANCES, Execution.IDEMPOTENT,
					Long.MAX_VALUE / 2, 2, index % 2);
		}
		return contexts;
	}

}
