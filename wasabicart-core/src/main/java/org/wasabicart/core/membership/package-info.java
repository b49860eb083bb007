/**
 * Failure detection and dissemination of the members of the deployment.
 */
package org.wasabicart.core.membership;
