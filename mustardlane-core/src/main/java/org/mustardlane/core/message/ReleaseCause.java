package org.mustardlane.core.message;

/**
 * Why a grant is released.
 */
public enum ReleaseCause {

	/**
	 * The response was received completely.
	 */
	COMPLETED,

	/**
	 * Nothing was sent to the target.
	 */
	UNUSED,

	/**
	 * The target was unreachable or its response broke off.
	 */
	FAILED,

	/**
	 * The router cancelled the attempt.
	 */
	CANCELLED

}
