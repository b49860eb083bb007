/**
 * Experiment on partitions between regions.
 */
package org.wasabicart.experiment.partition;
