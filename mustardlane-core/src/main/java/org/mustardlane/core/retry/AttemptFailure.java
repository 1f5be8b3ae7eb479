package org.mustardlane.core.retry;

/**
 * How an attempt without a usable response ended.
 */
public enum AttemptFailure {

	/**
	 * The request was not sent to the target.
	 */
	NOT_SENT,

	/**
	 * The target reported that it did not execute the request.
	 */
	NOT_EXECUTED,

	/**
	 * The target responded with a failure of its own.
	 */
	FAILURE_ANSWERED,

	/**
	 * The response was missing, incomplete or unusable. The request may have been
	 * executed.
	 */
	BROKEN

}
