package org.mustardlane.gateway.target;

/**
 * Why a call at a target ended without a whole answer.
 */
public enum CallFailure {

	/**
	 * No byte was sent: the call has not run there.
	 */
	NOT_SENT,

	/**
	 * The call was sent and may have run.
	 */
	BROKEN

}
