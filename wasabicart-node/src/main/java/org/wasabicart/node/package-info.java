/**
 * Node daemon beside each backend server.
 */
package org.wasabicart.node;
