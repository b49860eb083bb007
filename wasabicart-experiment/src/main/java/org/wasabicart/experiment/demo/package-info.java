/**
 * Demonstration that runs on a single machine.
 */
package org.wasabicart.experiment.demo;
