/**
 * Experiment on orders while processes and the store fail.
 */
package org.wasabicart.experiment.orders;
