package org.mustardlane.core.directory;

/**
 * Whether a target accepts new requests.
 */
public enum TargetState {

	/**
	 * The target accepts new requests.
	 */
	READY,

	/**
	 * The target finishes its current requests and then leaves.
	 */
	DRAINING

}
