/**
 * Experiment on connections that go silent.
 */
package org.wasabicart.experiment.link;
