/**
 * Starts and ends deployments of real processes on loopback addresses.
 */
package org.wasabicart.experiment.harness;
