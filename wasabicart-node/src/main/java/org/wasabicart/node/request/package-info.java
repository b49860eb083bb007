/**
 * Path of one request through a node: the filter chain of the entry side and of the
 * serving side. No HTTP library types.
 */
package org.wasabicart.node.request;
