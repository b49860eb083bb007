package org.wasabicart.experiment.harness;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Running deployment: store, relay, backend servers and nodes.
 */
public final class Deployment implements AutoCloseable {

	/** Store key of the configuration. */
	public static final String CONFIGURATION_KEY = "/wasabicart/configuration";

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

	private final DeploymentPlan plan;

	private final AddressPlan addresses;

	private final ControlMode mode;

	private final DeploymentLauncher launcher;

	private final HttpControl httpControl = new HttpControl();

	private final List<DeployedNode> nodes = new ArrayList<>();

	private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();

	private Deployment(ProcessHarness harness, DeploymentPlan plan, ControlMode mode, String addressPrefix)
			throws IOException {
		this.plan = plan;
		this.mode = mode;
		this.addresses = AddressPlan.findFree(addressPrefix);
		this.launcher = new DeploymentLauncher(harness, plan, this.addresses, mode);
		int index = 0;
		for (ServiceModel service : plan.services()) {
			for (FailureDomainModel domain : plan.domains()) {
				for (int server = 0; server < service.serversPerDomain(); server++) {
					String name = service.name() + "-" + domain.name() + "-" + server;
					this.nodes.add(new DeployedNode(index, name, service.name(), domain,
							"http://" + this.addresses.http(index), "http://" + this.addresses.localHttp(index),
							this.addresses.listen(index),
							plan.relayed() ? this.addresses.advertised(index) : this.addresses.listen(index),
							this.addresses.backend(index)));
					index++;
				}
			}
		}
	}

	/**
	 * Starts all processes and publishes the configuration, but does not wait until the
	 * nodes are ready.
	 * @param harness harness that starts the processes
	 * @param plan plan of the deployment
	 * @param mode control mode of the nodes
	 * @param addressPrefix first two octets of the addresses
	 * @return the deployment
	 * @throws IOException if a process cannot be started
	 * @throws InterruptedException if interrupted
	 */
	public static Deployment start(ProcessHarness harness, DeploymentPlan plan, ControlMode mode, String addressPrefix)
			throws IOException, InterruptedException {
		Deployment deployment = new Deployment(harness, plan, mode, addressPrefix);
		deployment.processes.put("store", deployment.launcher.startStore());
		if (plan.relayed()) {
			deployment.processes.put("relay", deployment.launcher.startRelay(deployment.nodes));
		}
		deployment.processes.put("backends", deployment.launcher.startBackends(deployment.nodes));
		deployment.httpControl.awaitOk(deployment.storeUrl() + "/standin/counts", READY_TIMEOUT);
		deployment.publish(new ConfigurationWriter(plan).json());
		for (DeployedNode node : deployment.nodes) {
			deployment.startNode(node);
		}
		return deployment;
	}

	/**
	 * Starts or restarts the process of a node.
	 * @param node node of this deployment
	 * @return the process
	 * @throws IOException if it cannot be started
	 */
	public ManagedProcess startNode(DeployedNode node) throws IOException {
		ManagedProcess process = this.launcher.startNode(node, this.nodes);
		this.processes.put(node.name(), process);
		return process;
	}

	/**
	 * Waits until all nodes are ready.
	 * @throws IOException if they are not ready in time
	 * @throws InterruptedException if interrupted
	 */
	public void awaitReady() throws IOException, InterruptedException {
		for (DeployedNode node : this.nodes) {
			try {
				this.httpControl.awaitOk(node.httpUrl() + "/health/ready", READY_TIMEOUT);
			}
			catch (IOException ex) {
				throw new IOException(ex.getMessage() + "; log: " + logTail(process(node.name()).log()), ex);
			}
		}
	}

	private static String logTail(Path log) throws IOException {
		String text = Files.readString(log);
		return text.substring(Math.max(0, text.length() - 2000));
	}

	/**
	 * Writes a configuration to the store.
	 * @param json configuration
	 * @throws IOException if the store does not answer
	 * @throws InterruptedException if interrupted
	 */
	public void publish(String json) throws IOException, InterruptedException {
		Base64.Encoder encoder = Base64.getEncoder();
		String key = encoder.encodeToString(CONFIGURATION_KEY.getBytes(StandardCharsets.UTF_8));
		String value = encoder.encodeToString(json.getBytes(StandardCharsets.UTF_8));
		this.httpControl.post(storeUrl() + "/v3/kv/put", "{\"key\":\"" + key + "\",\"value\":\"" + value + "\"}");
	}

	public DeploymentPlan plan() {
		return this.plan;
	}

	public ControlMode mode() {
		return this.mode;
	}

	/**
	 * Returns all nodes.
	 * @return the nodes in the order of services and failure domains
	 */
	public List<DeployedNode> nodes() {
		return List.copyOf(this.nodes);
	}

	/**
	 * Returns the addresses on which the nodes accept requests of callers.
	 * @return the URLs
	 */
	public List<String> httpUrls() {
		return this.nodes.stream().map(DeployedNode::httpUrl).toList();
	}

	/**
	 * Returns the nodes of one service.
	 * @param service service
	 * @return its nodes
	 */
	public List<DeployedNode> nodes(String service) {
		return this.nodes.stream().filter((node) -> node.service().equals(service)).toList();
	}

	/**
	 * Returns the process of a node, or of {@code store}, {@code relay} or
	 * {@code backends}.
	 * @param name node id, or one of these three names
	 * @return the process
	 */
	public ManagedProcess process(String name) {
		return this.processes.get(name);
	}

	/**
	 * Returns the address of the store.
	 * @return the URL
	 */
	public String storeUrl() {
		return "http://" + this.addresses.store();
	}

	/**
	 * Returns the address of the relay's control endpoints.
	 * @return the URL
	 */
	public String relayUrl() {
		return "http://" + this.addresses.relayControl();
	}

	/**
	 * Returns the file in which the backend servers record their runs.
	 * @return the file
	 */
	public Path historyFile() {
		return this.launcher.history();
	}

	/**
	 * Returns the HTTP client for stand-ins and nodes.
	 * @return the client
	 */
	public HttpControl httpControl() {
		return this.httpControl;
	}

	@Override
	public void close() {
		ProcessHarness.kill(List.copyOf(this.processes.values()));
	}

}
