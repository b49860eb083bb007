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
 * Implementations of the admission, routing and retry decisions of one node.
 *
 * @param admission creates the admission controller of the local backend server
 * @param router chooses serving nodes
 * @param earlyRefusal refuses requests on the entry side, before they are routed
 * @param retryAllowances creates a retry allowance of a given size
 * @param retryBudgets creates the retry budget of a service
 */
public record Decisions(LocalAdmission.AdmissionFactory admission, Router router, EarlyRefusal earlyRefusal,
		IntFunction<RetryAllowance> retryAllowances, Function<ServiceName, RetryBudget> retryBudgets) {

}
