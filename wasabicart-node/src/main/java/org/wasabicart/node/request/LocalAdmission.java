package org.wasabicart.node.request;

import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.admission.AdmissionController;
import org.wasabicart.core.model.ConfigurationSnapshot;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.ServicePolicy;
import org.wasabicart.node.ConfigurationHolder;
import org.wasabicart.node.LocalServer;
import org.wasabicart.node.LocalServerHolder;

/**
 * Holds the admission controller in front of the local backend server. The controller is
 * replaced when the service's policy or the announced service changes.
 */
public final class LocalAdmission {

	private final ConfigurationHolder configuration;

	private final LocalServerHolder localServer;

	private final AdmissionFactory factory;

	private volatile Entry entry;

	/**
	 * Creates a holder that follows the configuration and the announcement.
	 * @param configuration configuration in force
	 * @param localServer announced backend server
	 * @param factory creates controllers
	 */
	public LocalAdmission(ConfigurationHolder configuration, LocalServerHolder localServer, AdmissionFactory factory) {
		this.configuration = configuration;
		this.localServer = localServer;
		this.factory = factory;
		configuration.addListener((snapshot) -> update());
		localServer.addListener(this::update);
		update();
	}

	private synchronized void update() {
		LocalServer server = this.localServer.server().orElse(null);
		if (server == null) {
			// Calls in progress still return their permits to the old controller.
			return;
		}
		ServicePolicy policy = policy(this.configuration.current(), server);
		if (policy == null) {
			return;
		}
		if (this.entry == null || !this.entry.policy.equals(policy)) {
			AdmissionController previous = (this.entry != null) ? this.entry.controller : null;
			this.entry = new Entry(policy, this.factory.create(policy, Optional.ofNullable(previous)));
		}
	}

	private static ServicePolicy policy(ConfigurationSnapshot snapshot, LocalServer server) {
		return snapshot.service(server.service()).orElse(null);
	}

	/**
	 * Returns the controller for a service.
	 * @param service service of the call
	 * @return the controller, or empty if the local backend server is not of that service
	 */
	public Optional<AdmissionController> controller(ServiceName service) {
		Entry current = this.entry;
		if (current == null || !current.policy.name().equals(service)) {
			return Optional.empty();
		}
		return Optional.of(current.controller);
	}

	/**
	 * Returns the current controller.
	 * @return the controller, or empty before the first announcement
	 */
	public Optional<AdmissionController> current() {
		return Optional.ofNullable(this.entry).map(Entry::controller);
	}

	/**
	 * Lets queued calls time out. To be called every few milliseconds.
	 */
	public void tick() {
		Entry current = this.entry;
		if (current != null) {
			current.controller.tick();
		}
	}

	/**
	 * Creates admission controllers.
	 */
	@FunctionalInterface
	public interface AdmissionFactory {

		/**
		 * Creates a controller for a policy.
		 * @param policy policy of the local service
		 * @param previous controller in use, which may be updated and returned
		 * @return the controller to use from now on
		 */
		AdmissionController create(ServicePolicy policy, Optional<AdmissionController> previous);

	}

	private record Entry(ServicePolicy policy, AdmissionController controller) {

		Entry {
			Objects.requireNonNull(controller, "controller");
		}
	}

}
