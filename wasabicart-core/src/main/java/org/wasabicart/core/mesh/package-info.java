/**
 * Decisions of a mesh node: route matching, placement, admission beside a backend server,
 * throttling at the entry, and the budget of repeated sends. The classes do no I/O and
 * are confined to one thread.
 */
package org.wasabicart.core.mesh;
