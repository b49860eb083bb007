/**
 * Command line experiments and the demonstration.
 */
package org.wasabicart.experiment;
