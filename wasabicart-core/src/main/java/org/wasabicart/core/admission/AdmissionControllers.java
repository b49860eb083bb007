package org.wasabicart.core.admission;

import java.util.Objects;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.ServicePolicy;
import org.wasabicart.core.model.TenantName;

/**
 * Creates admission controllers. The policy supplier is read at each decision, so that a
 * new configuration takes effect at once; it must be cheap.
 * <p>
 * Example: <pre>{@code
 * AdmissionController admission = AdmissionControllers.adaptive(() -> policy, (tenant) -> 1.0,
 * 		System::nanoTime, new SplittableRandom());
 * }</pre>
 */
public final class AdmissionControllers {

	private AdmissionControllers() {
	}

	/**
	 * Creates a controller with an adaptive limit, a fair queue and a priority threshold.
	 * @param policy policy of the backend server's service
	 * @param tenantShare weight of a tenant, higher than zero
	 * @param ticker clock
	 * @param random random source, used under the controller's lock only
	 * @return the controller
	 */
	public static AdmissionController adaptive(Supplier<ServicePolicy> policy, ToDoubleFunction<TenantName> tenantShare,
			Ticker ticker, RandomGenerator random) {
		Objects.requireNonNull(tenantShare, "tenantShare");
		ServicePolicy initial = policy.get();
		int initialLimit = Math.min(initial.slots(), initial.ceiling());
		return new QueueingAdmission(policy, initialLimit, new AdaptiveLimit(initialLimit),
				new DemandThreshold(ticker.nanoseconds()), new FairQueue(tenantShare), ticker, random);
	}

	/**
	 * Creates the threshold control of the adaptive controller, without the controller.
	 * @param ticker clock
	 * @return the control
	 */
	public static ThresholdControl demandThreshold(Ticker ticker) {
		return new DemandThreshold(ticker.nanoseconds());
	}

	/**
	 * Creates a baseline controller with the ceiling as its fixed limit and a first-in
	 * first-out queue.
	 * @param policy policy of the backend server's service
	 * @param ticker clock
	 * @param random random source, used under the controller's lock only
	 * @return the controller
	 */
	public static AdmissionController fixedLimit(Supplier<ServicePolicy> policy, Ticker ticker,
			RandomGenerator random) {
		return new QueueingAdmission(policy, policy.get().ceiling(), LimitSample::ceiling, new NoThreshold(),
				new FifoQueue(), ticker, random);
	}

	/**
	 * Creates a baseline controller that admits every call.
	 * @param ticker clock
	 * @return the controller
	 */
	public static AdmissionController unlimited(Ticker ticker) {
		return new UnlimitedAdmission(ticker);
	}

}
