package org.mustardlane.core.model.membership;

/**
 * State of a VM in the VM list of the platform.
 */
public enum VmState {

	/**
	 * The VM is up.
	 */
	LIVE,

	/**
	 * The VM is shutting down and accepts no new work.
	 */
	LEAVING

}
