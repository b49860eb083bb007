/**
 * Chooses the serving node of each call, and refuses calls early by known admission
 * thresholds.
 */
package org.wasabicart.core.routing;
