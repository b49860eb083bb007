package org.wasabicart.node;

import java.util.function.Function;
import java.util.function.IntFunction;

import org.wasabicart.core.model.ServiceName;
import org.wasabicart.core.retry.RetryAllowance;
import org.wasabicart.core.retry.RetryBudget;
import org.wasabicart.core.routing.EarlyRefusal;
import org.wasabicart.core.routing.Router;
import org.wasabicart.node.request.LocalAdmission;

/**
 * Decision objects of one node.
 *
 * @param admission creates the admission controller of the local backend server
 * @param router chooses serving nodes
 * @param earlyRefusal refuses at the entry
 * @param allowances creates a retry allowance of a size
 * @param budgets creates the retry budget of a service
 */
public record Decisions(LocalAdmission.AdmissionFactory admission, Router router, EarlyRefusal earlyRefusal,
		IntFunction<RetryAllowance> allowances, Function<ServiceName, RetryBudget> budgets) {

}
