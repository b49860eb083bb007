/**
 * Choice of a serving node for each call, and early refusal by known thresholds.
 */
package org.wasabicart.core.routing;
