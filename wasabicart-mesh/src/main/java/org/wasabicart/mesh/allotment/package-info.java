/**
 * Carries the allotments of workspaces between nodes, on the links that exist. The
 * classes are confined to the event loop of the node.
 */
package org.wasabicart.mesh.allotment;
