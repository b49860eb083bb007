/**
 * Decisions of the control layer, free of input, output and threads.
 */
package org.wasabicart.core;
