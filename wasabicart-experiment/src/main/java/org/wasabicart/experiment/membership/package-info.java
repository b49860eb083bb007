/**
 * Experiments on membership and configuration with real controllers over an in-process
 * transport in virtual time.
 */
package org.wasabicart.experiment.membership;
