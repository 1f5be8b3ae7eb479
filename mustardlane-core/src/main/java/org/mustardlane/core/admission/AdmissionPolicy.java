package org.mustardlane.core.admission;

/**
 * Selects how the owner of a shard chooses targets and orders its queue.
 */
public enum AdmissionPolicy {

	/**
	 * Chooses targets round robin among those with a free slot and queues requests first
	 * come first served. Serves as the baseline in measurements.
	 */
	NAIVE,

	/**
	 * Chooses targets by rendezvous hashing with bounded loads and queues requests fairly
	 * by service class and organisation.
	 */
	BOUNDED

}
