/**
 * Admission of whole requests by the scarcest service that they need: the shortage of a
 * service as its gates see it, its way to the entries, and the decision there. The
 * classes do no I/O and are confined to one thread.
 */
package org.wasabicart.core.overload;
