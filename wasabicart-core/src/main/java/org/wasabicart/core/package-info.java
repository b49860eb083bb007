/**
 * Decision logic of the control layer. It does no I/O and starts no threads.
 */
package org.wasabicart.core;
