package org.wasabicart.core.order;

/**
 * Result of the attempt to begin an order.
 */
public enum BeginResult {

	/** The order may run now, and no other attempt may run it. */
	STARTED,

	/** The order is running. */
	RUNNING,

	/** The order has ended. */
	FINISHED,

	/** The order will never run here. */
	BARRED,

	/** The ticket belongs to another tenant. */
	OTHER_TENANT,

	/** The ticket is not known. */
	ABSENT,

	/** The table is full. */
	FULL

}
