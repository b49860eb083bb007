/**
 * Overload experiments, which compare this project with baselines under the same load.
 */
package org.wasabicart.experiment.overload;
