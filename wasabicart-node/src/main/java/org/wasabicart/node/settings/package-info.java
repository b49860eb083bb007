/**
 * Settings of the node process, from flags and environment variables.
 */
package org.wasabicart.node.settings;
