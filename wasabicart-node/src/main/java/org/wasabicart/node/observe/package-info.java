/**
 * Metrics, logs, health and status of a node.
 */
package org.wasabicart.node.observe;
