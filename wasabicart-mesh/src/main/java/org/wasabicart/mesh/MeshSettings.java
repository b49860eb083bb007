package org.wasabicart.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.overload.AdmissionMode;
import org.wasabicart.core.overload.GateOrder;
import org.wasabicart.mesh.capacity.ServerCapacityMode;

/**
 * Settings of one mesh node.
 *
 * @param nodeId id of the node
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param service service of the backend server on this VM
 * @param backendAddress address of the backend server on this VM
 * @param entryAddress listen address for callers on this VM
 * @param linkAddress listen address for calls from other nodes
 * @param drainTime time after which a draining server gets no more calls
 * @param grace longest time from the request to stop to the exit of the process
 * @param repeats limit on repeated sends
 * @param serverCapacity source of the capacity of servers
 * @param admission how entries decide on new requests under overload
 * @param gateOrder order in which calls get the slots of the server
 * @param entryBounds bounds on what callers may make the node hold
 */
public record MeshSettings(NodeId nodeId, FailureDomain failureDomain, RegionName region, ServiceName service,
		InetSocketAddress backendAddress, InetSocketAddress entryAddress, InetSocketAddress linkAddress,
		Duration drainTime, Duration grace, RepeatSettings repeats, ServerCapacityMode serverCapacity,
		AdmissionMode admission, GateOrder gateOrder, EntryBounds entryBounds) {

	public MeshSettings {
		Objects.requireNonNull(nodeId, "nodeId");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(region, "region");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(backendAddress, "backendAddress");
		Objects.requireNonNull(entryAddress, "entryAddress");
		Objects.requireNonNull(linkAddress, "linkAddress");
		Objects.requireNonNull(drainTime, "drainTime");
		Objects.requireNonNull(grace, "grace");
		Objects.requireNonNull(repeats, "repeats");
		Objects.requireNonNull(serverCapacity, "serverCapacity");
		Objects.requireNonNull(admission, "admission");
		Objects.requireNonNull(gateOrder, "gateOrder");
		Objects.requireNonNull(entryBounds, "entryBounds");
	}

	/**
	 * Creates settings with the announced capacity of servers, admission by route, gates
	 * in the order of deadlines and the default bounds on callers.
	 * @param nodeId id of the node
	 * @param failureDomain failure domain of the VM
	 * @param region region of the failure domain
	 * @param service service of the backend server on this VM
	 * @param backendAddress address of the backend server on this VM
	 * @param entryAddress listen address for callers on this VM
	 * @param linkAddress listen address for calls from other nodes
	 * @param drainTime time after which a draining server gets no more calls
	 * @param grace longest time from the request to stop to the exit of the process
	 * @param repeats limit on repeated sends
	 */
	public MeshSettings(NodeId nodeId, FailureDomain failureDomain, RegionName region, ServiceName service,
			InetSocketAddress backendAddress, InetSocketAddress entryAddress, InetSocketAddress linkAddress,
			Duration drainTime, Duration grace, RepeatSettings repeats) {
		this(nodeId, failureDomain, region, service, backendAddress, entryAddress, linkAddress, drainTime, grace,
				repeats, ServerCapacityMode.ANNOUNCED, AdmissionMode.ROUTE, GateOrder.DEADLINE, EntryBounds.DEFAULT);
	}

}
