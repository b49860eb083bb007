package org.wasabicart.experiment.orders;

/**
 * One fault of a schedule.
 *
 * @param kind kind
 * @param node index of the affected node; unused for faults of the store
 * @param atSeconds begin, since the begin of the load
 * @param forSeconds duration
 */
record PlannedFault(FaultKind kind, int node, double atSeconds, double forSeconds) {

}
