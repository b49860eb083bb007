/**
 * Simple decisions: baselines for comparison in experiments.
 */
package org.wasabicart.node.baseline;
