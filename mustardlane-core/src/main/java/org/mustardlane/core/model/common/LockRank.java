package org.mustardlane.core.model.common;

/**
 * The order in which one thread may take the locks of the tables, first to last.
 */
public enum LockRank {

	/**
	 * The requests that this router has received.
	 */
	REQUESTS,

	/**
	 * The signs of life of routers and the VM list.
	 */
	MEMBERSHIP,

	/**
	 * The catalogue and its log.
	 */
	CATALOGUE,

	/**
	 * The shards that this router owns, their queues and grants.
	 */
	ADMISSION,

	/**
	 * The partitions of claims that this router owns.
	 */
	CLAIMS,

	/**
	 * Leases and orders to engines.
	 */
	ORDERS,

	/**
	 * The events of the time line.
	 */
	TIMELINE

}
