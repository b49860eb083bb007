/**
 * Experiment on the latency, memory and processor usage of the nodes.
 */
package org.wasabicart.experiment.latency;
