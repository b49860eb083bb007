/**
 * Bounds on retries over the whole tree of one root request, and per node and service.
 */
package org.wasabicart.core.retry;
