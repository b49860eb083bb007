/**
 * Experiment on partitions between failure domains.
 */
package org.wasabicart.experiment.partition;
