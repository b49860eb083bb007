/**
 * Mesh node: a sidecar process of a backend server. It accepts the requests of its VM,
 * forwards them to nodes whose servers run the target service, and applies admission
 * control to the calls that other nodes send to its own server. All state is confined to
 * one event loop.
 */
package org.wasabicart.mesh;
