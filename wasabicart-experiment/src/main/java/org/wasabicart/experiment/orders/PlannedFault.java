package org.wasabicart.experiment.orders;

/**
 * Fault of a schedule.
 *
 * @param kind kind of the fault
 * @param node index of the affected node; unused for faults of the store
 * @param startSeconds start, relative to the start of the load
 * @param durationSeconds duration; has no effect on a drained node
 */
record PlannedFault(FaultKind kind, int node, double startSeconds, double durationSeconds) {

}
