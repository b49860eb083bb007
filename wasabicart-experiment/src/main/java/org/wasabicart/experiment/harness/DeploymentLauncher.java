package org.wasabicart.experiment.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Starts the processes of one deployment with the flags of the design page.
 */
final class DeploymentLauncher {

	private static final int SHARED_KEY_BYTES = 32;

	private static final int MAXIMUM_SEED_NODES = 4;

	private final ObjectMapper mapper = new ObjectMapper();

	private final ProcessHarness harness;

	private final DeploymentPlan plan;

	private final AddressPlan addresses;

	private final ControlMode mode;

	private final Path directory;

	DeploymentLauncher(ProcessHarness harness, DeploymentPlan plan, AddressPlan addresses, ControlMode mode)
			throws IOException {
		this.harness = harness;
		this.plan = plan;
		this.addresses = addresses;
		this.mode = mode;
		this.directory = Files.createTempDirectory(harness.directory(), mode.flag());
		byte[] key = new byte[SHARED_KEY_BYTES];
		ThreadLocalRandom.current().nextBytes(key);
		Files.writeString(this.directory.resolve("shared-key"), HexFormat.of().formatHex(key));
	}

	Path history() {
		return this.directory.resolve("history.jsonl");
	}

	ManagedProcess startStore() throws IOException {
		return start("store", JvmFlags.STANDIN, "org.wasabicart.standin.store.StoreMain",
				List.of("--address", this.addresses.store()));
	}

	ManagedProcess startRelay(List<DeployedNode> nodes) throws IOException {
		ObjectNode rules = this.mapper.createObjectNode();
		rules.put("domainMilliseconds", this.plan.domainMilliseconds());
		rules.put("regionMilliseconds", this.plan.regionMilliseconds());
		rules.put("regionMegabits", this.plan.regionMegabits());
		ArrayNode endpoints = rules.putArray("endpoints");
		for (DeployedNode node : nodes) {
			endpoints.addObject()
				.put("advertised", node.advertisedAddress())
				.put("target", node.listenAddress())
				.put("failureDomain", node.domain().name())
				.put("region", node.domain().region());
		}
		Path file = this.directory.resolve("relay.json");
		this.mapper.writeValue(file.toFile(), rules);
		return start("relay", JvmFlags.STANDIN, "org.wasabicart.standin.relay.RelayMain",
				List.of("--rules", file.toString(), "--control-address", this.addresses.relayControl()));
	}

	ManagedProcess startBackends(List<DeployedNode> nodes) throws IOException {
		ArrayNode servers = this.mapper.createArrayNode();
		for (DeployedNode node : nodes) {
			ServiceModel service = this.plan.service(node.service());
			servers.addObject()
				.put("service", service.name())
				.put("address", node.backendAddress())
				.put("node", node.localHttpUrl())
				.put("slots", service.slots())
				.put("connections", service.connections())
				.put("serviceMilliseconds", service.serviceMilliseconds())
				.put("calls", String.join(",", service.calls()))
				.put("answerBytes", service.answerBytes())
				.put("seed", node.index() + 1);
		}
		Path file = this.directory.resolve("servers.json");
		this.mapper.writeValue(file.toFile(), servers);
		return start("backends", JvmFlags.STANDIN, "org.wasabicart.standin.backend.BackendMain",
				List.of("--servers", file.toString(), "--history", history().toString()));
	}

	ManagedProcess startNode(DeployedNode node, List<DeployedNode> all) throws IOException {
		String seeds = all.stream()
			.filter((other) -> other.index() != node.index())
			.limit(MAXIMUM_SEED_NODES)
			.map(DeployedNode::advertisedAddress)
			.collect(Collectors.joining(","));
		List<String> flags = new ArrayList<>();
		flags.addAll(List.of("--node-id", node.name()));
		flags.addAll(List.of("--failure-domain", node.domain().name(), "--region", node.domain().region()));
		flags.addAll(List.of("--listen-address", node.listenAddress()));
		flags.addAll(List.of("--advertised-address", node.advertisedAddress()));
		flags.addAll(List.of("--http-address", this.addresses.http(node.index())));
		flags.addAll(List.of("--local-http-address", this.addresses.localHttp(node.index())));
		flags.addAll(List.of("--store", "http://" + this.addresses.store(), "--seeds", seeds));
		flags.addAll(List.of("--shared-key-file", this.directory.resolve("shared-key").toString()));
		flags.addAll(List.of("--log-format", "key-value", "--log-level", "INFO", "--control", this.mode.flag()));
		return start(node.name(), JvmFlags.NODE, "org.wasabicart.node.NodeMain", flags);
	}

	private ManagedProcess start(String name, List<String> jvmFlags, String mainClass, List<String> arguments)
			throws IOException {
		return this.harness.startJava(this.directory.getFileName() + "-" + name, jvmFlags, mainClass, arguments);
	}

}
