/**
 * Network relay between failure domains: delay, a bandwidth limit between regions,
 * partitions and silent connections, for TCP and UDP.
 */
package org.wasabicart.standin.relay;
