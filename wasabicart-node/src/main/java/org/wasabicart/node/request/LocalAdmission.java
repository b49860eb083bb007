package org.wasabicart.node.request;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.wasabicart.core.admission.AdmissionController;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.model.ServicePolicy;
import org.wasabicart.node.ConfigurationHolder;
import org.wasabicart.node.LocalServer;
import org.wasabicart.node.LocalServerHolder;

/**
 * Holds the admission controller of the local backend server. The controller is replaced
 * when a backend server of another service is announced.
 */
public final class LocalAdmission {

	private final ConfigurationHolder configuration;

	private final LocalServerHolder localServer;

	private final AdmissionFactory factory;

	private volatile Entry entry;

	/**
	 * Creates a holder that listens for changes of the configuration and of the announced
	 * backend server.
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
		if (server == null || this.configuration.current().service(server.service()).isEmpty()) {
			// The controller stays, because running calls still return their permits to
			// it.
			return;
		}
		if (this.entry == null || !this.entry.service.equals(server.service())) {
			this.entry = new Entry(server.service(), this.factory.create(policySupplier(server.service())));
		}
	}

	// A service that is removed from the configuration retains its last policy, because
	// its backend server may still run.
	private Supplier<ServicePolicy> policySupplier(ServiceName service) {
		AtomicReference<ServicePolicy> lastPolicy = new AtomicReference<>();
		return () -> {
			this.configuration.current().service(service).ifPresent(lastPolicy::set);
			return lastPolicy.get();
		};
	}

	/**
	 * Returns the controller for a service.
	 * @param service service of the call
	 * @return the controller, or empty if there is none for that service
	 */
	public Optional<AdmissionController> controller(ServiceName service) {
		Entry current = this.entry;
		if (current == null || !current.service.equals(service)) {
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
	 * Refuses expired queued calls. Must be called every few milliseconds.
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
		 * Creates a controller.
		 * @param policy supplies the policy in force of the local service; must be read
		 * at each decision
		 * @return the controller
		 */
		AdmissionController create(Supplier<ServicePolicy> policy);

	}

	private record Entry(ServiceName service, AdmissionController controller) {

		Entry {
			Objects.requireNonNull(controller, "controller");
		}
	}

}
