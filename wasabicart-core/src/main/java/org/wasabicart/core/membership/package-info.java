/**
 * Membership of the deployment: failure detection in the manner of SWIM, dissemination by
 * gossip, and the choice of contact nodes.
 */
package org.wasabicart.core.membership;
