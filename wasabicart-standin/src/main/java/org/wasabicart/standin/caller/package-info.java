/**
 * Callers: an open-loop load generator with impatient clients.
 */
package org.wasabicart.standin.caller;
