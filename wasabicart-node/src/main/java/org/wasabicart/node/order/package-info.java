/**
 * At-most-once execution of orders on the request path: the filters of the home node and
 * of the serving node, and the queries for results after a link broke.
 */
package org.wasabicart.node.order;
