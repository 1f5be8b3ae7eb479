package org.mustardlane.gateway.report;

/**
 * How a call ended.
 */
public enum CallOutcome {

	/**
	 * The answer of a target was passed on whole.
	 */
	ANSWERED,

	/**
	 * The call has not run and the caller was told to come back.
	 */
	REFUSED,

	/**
	 * The call has not run and its time is up.
	 */
	EXPIRED,

	/**
	 * The call may have run; its answer is lost.
	 */
	FAILED,

	/**
	 * An answer was broken off after it had begun.
	 */
	BROKEN_OFF,

	/**
	 * The caller closed its connection.
	 */
	CALLER_GONE

}
