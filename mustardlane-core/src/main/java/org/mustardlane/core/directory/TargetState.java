package org.mustardlane.core.directory;

/**
 * Whether a target takes new work.
 */
public enum TargetState {

	/**
	 * It does.
	 */
	READY,

	/**
	 * It finishes what it has and then leaves.
	 */
	DRAINING

}
