package org.wasabicart.node.observe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.wasabicart.core.admission.AdmissionController;
import org.wasabicart.core.admission.AdmissionStatus;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.node.LocalServer;
import org.wasabicart.node.NodeParts;
import org.wasabicart.node.request.LocalAdmission;

/**
 * Status of a node as JSON, for the command line and operators.
 */
public final class NodeStatus {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final NodeParts parts;

	private final LocalAdmission admission;

	private final Supplier<Map<ServiceName, Integer>> thresholds;

	/**
	 * Creates the status page of a node.
	 * @param parts parts of the node
	 * @param admission admission control in front of the local backend server
	 * @param thresholds admission thresholds received in responses of other services
	 */
	public NodeStatus(NodeParts parts, LocalAdmission admission, Supplier<Map<ServiceName, Integer>> thresholds) {
		this.parts = parts;
		this.admission = admission;
		this.thresholds = thresholds;
	}

	/**
	 * Writes the current status.
	 * @return the status as JSON in UTF-8
	 */
	public byte[] json() {
		Map<String, Integer> sortedThresholds = new TreeMap<>();
		this.thresholds.get().forEach((service, threshold) -> sortedThresholds.put(service.value(), threshold));
		Status status = new Status(this.parts.settings().nodeId().value(), this.parts.instance().value(),
				this.parts.localServer().server().map(LocalServer::service).map(ServiceName::value).orElse(null),
				this.parts.settings().failureDomain().value(), this.parts.settings().region().value(),
				this.parts.settings().advertisedAddress().toString(), code(this.parts.localServer().state()),
				code(this.parts.settings().control()), this.parts.configuration().current().revision().value(),
				members(this.parts.members().get()),
				this.admission.current().map(AdmissionController::status).orElse(null), sortedThresholds);
		try {
			return MAPPER.writeValueAsBytes(status);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Cannot write the status", ex);
		}
	}

	private static Map<String, Map<String, List<MemberStatus>>> members(Collection<Member> members) {
		Map<String, Map<String, List<MemberStatus>>> byService = new TreeMap<>();
		for (Member member : members) {
			byService.computeIfAbsent(member.service().value(), (service) -> new TreeMap<>())
				.computeIfAbsent(member.failureDomain().value(), (domain) -> new ArrayList<>())
				.add(new MemberStatus(member.id().value(), member.instance().value(), member.address().toString(),
						code(member.state()), member.slots(), member.revision().value()));
		}
		return byService;
	}

	private static String code(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

	private record Status(String node, long instance, String service, String failureDomain, String region,
			String advertisedAddress, String state, String control, long revision,
			Map<String, Map<String, List<MemberStatus>>> members, AdmissionStatus admission,
			Map<String, Integer> thresholds) {

	}

	private record MemberStatus(String node, long instance, String address, String state, int slots, long revision) {

	}

}
