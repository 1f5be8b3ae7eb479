package org.mustardlane.core.message;

/**
 * Why a grant is given back.
 */
public enum ReleaseCause {

	/**
	 * The answer is whole.
	 */
	COMPLETED,

	/**
	 * Nothing was sent.
	 */
	UNUSED,

	/**
	 * The target broke the answer or could not be reached.
	 */
	FAILED,

	/**
	 * The router gave the attempt up.
	 */
	CANCELLED

}
