/**
 * Capacity of backend servers as it is found out from their calls, and placement by it.
 * All classes are plain decisions that take the time as a parameter, in nanoseconds.
 */
package org.wasabicart.core.capacity;
