/**
 * Latency, memory and processor use of the nodes.
 */
package org.wasabicart.experiment.latency;
