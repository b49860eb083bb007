/**
 * Path of a request through a node: the filter chains of the entry side and of the
 * serving side. This package does not depend on the HTTP library.
 */
package org.wasabicart.node.request;
