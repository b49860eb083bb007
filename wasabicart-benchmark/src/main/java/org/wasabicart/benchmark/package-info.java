/**
 * JMH benchmarks of the per-request decisions.
 */
package org.wasabicart.benchmark;
