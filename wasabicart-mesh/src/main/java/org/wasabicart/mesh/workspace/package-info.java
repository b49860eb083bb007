/**
 * Identifies the workspaces of callers at the entry. All state is confined to one event
 * loop.
 */
package org.wasabicart.mesh.workspace;
