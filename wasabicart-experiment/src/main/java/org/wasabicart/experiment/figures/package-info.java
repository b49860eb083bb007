/**
 * Figures computed from the histories of backend servers and the records of callers.
 */
package org.wasabicart.experiment.figures;
