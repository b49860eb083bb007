/**
 * Stand-ins for the platform's key-value store, the backend servers, the callers and the
 * network.
 */
package org.wasabicart.standin;
