/**
 * Demonstration on the operators' own machine.
 */
package org.wasabicart.experiment.demo;
