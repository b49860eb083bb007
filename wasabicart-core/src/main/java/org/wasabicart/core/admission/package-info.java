/**
 * Admission control for a backend server: concurrency limit, queue and priority
 * threshold.
 */
package org.wasabicart.core.admission;
