/**
 * Mesh node: the process beside a backend server that accepts the requests of the VM,
 * passes them to the node beside a server of the target service, and admits the calls
 * that other nodes send to its own server. All state is confined to one event loop.
 */
package org.wasabicart.mesh;
