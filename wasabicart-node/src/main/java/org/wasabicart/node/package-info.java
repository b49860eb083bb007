/**
 * Node daemon, which runs on the VM of each backend server.
 */
package org.wasabicart.node;
