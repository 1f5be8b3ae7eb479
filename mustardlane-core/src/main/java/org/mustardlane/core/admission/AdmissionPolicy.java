package org.mustardlane.core.admission;

/**
 * How the owner of a shard chooses targets and orders its queue.
 */
public enum AdmissionPolicy {

	/**
	 * Round robin over the targets with a free slot, first come first served; the
	 * baseline of measurements.
	 */
	NAIVE,

	/**
	 * Rendezvous hashing with bounded loads, and fair queues by class and organisation.
	 */
	BOUNDED

}
