package org.mustardlane.core.retry;

/**
 * How an attempt ended that brought no usable answer.
 */
public enum AttemptResult {

	/**
	 * Nothing was sent.
	 */
	NOT_SENT,

	/**
	 * The target states that it did not run the call.
	 */
	NOT_EXECUTED,

	/**
	 * The target answered with a failure of its own.
	 */
	FAILURE_ANSWERED,

	/**
	 * The answer broke off or never came; the call may have run.
	 */
	BROKEN

}
