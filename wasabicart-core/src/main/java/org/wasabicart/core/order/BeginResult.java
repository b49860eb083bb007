package org.wasabicart.core.order;

/**
 * Result of an attempt to begin an order.
 */
public enum BeginResult {

	/** The order may run now, and no other attempt may run it. */
	STARTED,

	/** The order is running. */
	RUNNING,

	/** The order has finished. */
	FINISHED,

	/** The order will never run at this node. */
	BARRED,

	/** The ticket belongs to another tenant. */
	OTHER_TENANT,

	/** The ticket is unknown. */
	ABSENT,

	/** The table is full. */
	FULL

}
