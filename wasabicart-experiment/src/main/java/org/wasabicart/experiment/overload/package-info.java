/**
 * Overload experiments with baselines that are driven by the same load.
 */
package org.wasabicart.experiment.overload;
