/**
 * Connects a mesh node to what it learns about the capacity of its backend server.
 */
package org.wasabicart.mesh.capacity;
