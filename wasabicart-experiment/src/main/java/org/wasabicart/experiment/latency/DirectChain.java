package org.wasabicart.experiment.latency;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;

import org.wasabicart.experiment.harness.AddressPlan;
import org.wasabicart.experiment.harness.ProcessHarness;

/**
 * Chain of backend servers as in {@link ChainPlan}, but without nodes: each server calls
 * the next one directly.
 */
final class DirectChain {

	private static final int SLOTS = 200;

	private static final int CONNECTIONS = 1_000;

	private static final int ANSWER_BYTES = 300;

	private final AddressPlan addresses;

	private final int depth;

	DirectChain(AddressPlan addresses, int depth) {
		this.addresses = addresses;
		this.depth = depth;
	}

	void start(ProcessHarness harness, List<String> jvmFlags) throws IOException {
		ObjectMapper mapper = new ObjectMapper();
		ArrayNode servers = mapper.createArrayNode();
		for (int level = 0; level < this.depth; level++) {
			boolean last = level + 1 == this.depth;
			servers.addObject()
				.put("service", ChainPlan.levelName(level))
				.put("address", this.addresses.backend(level))
				.put("slots", SLOTS)
				.put("connections", CONNECTIONS)
				.put("serviceMilliseconds", 0)
				.put("answerBytes", ANSWER_BYTES)
				.put("callUrl", last ? "" : "http://" + this.addresses.backend(level + 1))
				.put("calls", last ? "" : ChainPlan.levelName(level + 1));
		}
		Path file = harness.directory().resolve("direct.json");
		mapper.writeValue(file.toFile(), servers);
		harness.startJava("direct", jvmFlags, "org.wasabicart.standin.backend.BackendMain",
				List.of("--servers", file.toString()));
	}

	String chainUrl() {
		return "http://" + this.addresses.backend(0);
	}

	String lastUrl() {
		return "http://" + this.addresses.backend(this.depth - 1);
	}

}
