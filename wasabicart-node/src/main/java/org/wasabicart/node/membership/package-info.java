/**
 * Membership of the node over UDP, contact entries in the store, and distribution of the
 * configuration.
 */
package org.wasabicart.node.membership;
