/**
 * At-most-once execution of orders with tickets and claims of idempotency keys.
 */
package org.wasabicart.core.order;
