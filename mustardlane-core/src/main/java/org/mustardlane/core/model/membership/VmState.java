package org.mustardlane.core.model.membership;

/**
 * What the list of the platform says of a VM.
 */
public enum VmState {

	/**
	 * The VM is up.
	 */
	LIVE,

	/**
	 * The VM is going away and takes no new work.
	 */
	LEAVING

}
