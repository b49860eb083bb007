/**
 * Bounds retries over the whole call tree of one root request, and per node and called
 * service.
 */
package org.wasabicart.core.retry;
