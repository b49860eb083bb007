/**
 * At-most-once execution of orders by tickets and claims.
 */
package org.wasabicart.core.order;
