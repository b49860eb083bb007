package org.wasabicart.core.overload;

import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.ServiceName;

/**
 * How entries decide on new requests when a service is short of capacity.
 */
public enum AdmissionMode {

	/** By the losses of each route that the entry has seen itself. */
	ROUTE {
		@Override
		public OverloadSignals createSignals(ServiceName service, NodeId node) {
			return OverloadSignals.NONE;
		}
	},

	/** By the scarcest service that a request needs, as reported by its gates. */
	CALL_GRAPH {
		@Override
		public OverloadSignals createSignals(ServiceName service, NodeId node) {
			return new CallGraphSignals(service, node);
		}
	};

	/**
	 * Creates the signals of one node.
	 * @param service service of the server beside the node
	 * @param node node
	 * @return the signals
	 */
	public abstract OverloadSignals createSignals(ServiceName service, NodeId node);

}
