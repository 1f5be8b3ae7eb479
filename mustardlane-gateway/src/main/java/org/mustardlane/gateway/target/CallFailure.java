package org.mustardlane.gateway.target;

/**
 * Reason why a call to a target ended without a complete response.
 */
public enum CallFailure {

	/**
	 * No byte was sent, so the target has not executed the call.
	 */
	NOT_SENT,

	/**
	 * The call was sent over a reused connection that ended before any byte of a
	 * response. The target may have executed the call, but has most likely dropped the
	 * connection while it was idle.
	 */
	DROPPED_CONNECTION,

	/**
	 * The call was sent and may have been executed.
	 */
	BROKEN

}
