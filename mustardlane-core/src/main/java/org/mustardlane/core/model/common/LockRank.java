package org.mustardlane.core.model.common;

/**
 * The ranks of the handler locks, in the order in which a thread may acquire them.
 */
public enum LockRank {

	/**
	 * Guards the requests that this router has received.
	 */
	REQUESTS,

	/**
	 * Guards the heartbeats of routers and the VM list.
	 */
	MEMBERSHIP,

	/**
	 * Guards the catalogue and its log.
	 */
	CATALOGUE,

	/**
	 * Guards the shards that this router owns, with their queues and grants.
	 */
	ADMISSION,

	/**
	 * Guards the claim partitions that this router owns.
	 */
	CLAIMS,

	/**
	 * Guards the leases and orders to engines.
	 */
	ORDERS,

	/**
	 * Guards the events of the time line.
	 */
	TIMELINE

}
