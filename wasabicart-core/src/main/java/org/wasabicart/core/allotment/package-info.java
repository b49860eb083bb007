/**
 * Limits on the requests of a workspace across all nodes. The classes do no I/O and are
 * confined to one thread.
 */
package org.wasabicart.core.allotment;
