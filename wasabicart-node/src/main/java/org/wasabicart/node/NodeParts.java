package org.wasabicart.node;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.Member;
import org.wasabicart.node.request.ExecutorTaskScheduler;
import org.wasabicart.node.request.RequestFilter;
import org.wasabicart.node.settings.NodeSettings;

/**
 * Dependencies of a {@link Node}.
 *
 * @param settings checked settings
 * @param instance number of this run of the process
 * @param ticker monotonic clock
 * @param scheduler scheduler of deadlines, backoff and ticks; closed with the node
 * @param random random source for jitter and random choices
 * @param configuration configuration in force
 * @param localServer backend server that announced itself, and the state of the node
 * @param decisions implementations of the admission, routing and retry decisions
 * @param members all known members, for status and metrics
 * @param entryFilters filters on the entry side that precede early refusal and routing,
 * such as the home node's order handling
 * @param servingFilters filters on the serving side that precede admission, such as the
 * serving node's ticket table
 */
public record NodeParts(NodeSettings settings, InstanceNumber instance, Ticker ticker, ExecutorTaskScheduler scheduler,
		RandomGenerator random, ConfigurationHolder configuration, LocalServerHolder localServer, Decisions decisions,
		Supplier<Collection<Member>> members, List<RequestFilter> entryFilters, List<RequestFilter> servingFilters) {

	public NodeParts {
		entryFilters = List.copyOf(entryFilters);
		servingFilters = List.copyOf(servingFilters);
	}

	/**
	 * Returns these parts with other filters.
	 * @param entry filters on the entry side
	 * @param serving filters on the serving side
	 * @return the parts
	 */
	public NodeParts withFilters(List<RequestFilter> entry, List<RequestFilter> serving) {
		return new NodeParts(this.settings, this.instance, this.ticker, this.scheduler, this.random, this.configuration,
				this.localServer, this.decisions, this.members, entry, serving);
	}

}
