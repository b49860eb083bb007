package org.wasabicart.configuration;

import org.wasabicart.core.model.Execution;
import org.wasabicart.core.model.KindName;
import org.wasabicart.core.model.ServiceName;

/**
 * Builds the product manager's part of one request kind. By default, a kind is idempotent
 * and has importance 0, credit 0 and no path prefix.
 */
public final class KindBuilder {

	private final KindName name;

	private int importance;

	private double credit;

	private Execution execution = Execution.IDEMPOTENT;

	private ServiceName entryService;

	private String pathPrefix = "";

	KindBuilder(String name) {
		this.name = new KindName(name);
	}

	/**
	 * Sets the importance.
	 * @param importance 0 (refused first) to 100 (refused last)
	 * @return this builder
	 */
	public KindBuilder importance(int importance) {
		this.importance = importance;
		return this;
	}

	/**
	 * Sets the value of one answered root request.
	 * @param credit zero or higher
	 * @return this builder
	 */
	public KindBuilder credit(double credit) {
		this.credit = credit;
		return this;
	}

	/**
	 * Makes the kind an order, which runs at most once.
	 * @return this builder
	 */
	public KindBuilder order() {
		this.execution = Execution.ORDER;
		return this;
	}

	/**
	 * Sets the service that answers the root request.
	 * @param service name of the service
	 * @return this builder
	 */
	public KindBuilder entryService(String service) {
		this.entryService = new ServiceName(service);
		return this;
	}

	/**
	 * Sets the path prefix that identifies requests of the kind.
	 * @param prefix path prefix that begins with a slash
	 * @return this builder
	 */
	public KindBuilder pathPrefix(String prefix) {
		this.pathPrefix = prefix;
		return this;
	}

	KindDeclaration build() {
		return new KindDeclaration(this.name, this.importance, this.credit, this.execution, this.entryService,
				this.pathPrefix);
	}

}
