/**
 * Benchmarks of the hot path.
 */
package org.wasabicart.benchmark;
