/**
 * Workspaces, the customers of a deployment: their names, keys and priorities. The
 * classes do no I/O.
 */
package org.wasabicart.core.workspace;
