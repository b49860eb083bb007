/**
 * Decisions of a mesh node: route matching, placement, admission beside a backend server,
 * admission at the entry, and the budget of repeated sends. Confined to one thread; no
 * I/O.
 */
package org.wasabicart.core.mesh;
