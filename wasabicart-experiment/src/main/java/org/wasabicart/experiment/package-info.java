/**
 * Demonstration and experiments.
 */
package org.wasabicart.experiment;
