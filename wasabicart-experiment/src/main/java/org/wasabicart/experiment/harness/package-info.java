/**
 * Starts deployments of real processes on loopback addresses and ends them.
 */
package org.wasabicart.experiment.harness;
