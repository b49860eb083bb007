/**
 * At-most-once execution of orders on the request path: the home node's and the serving
 * node's filters, and the queries for results after a broken link.
 */
package org.wasabicart.node.order;
