/**
 * Orders under faults of processes and the store.
 */
package org.wasabicart.experiment.orders;
