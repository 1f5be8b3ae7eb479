package org.mustardlane.gateway.report;

/**
 * Final outcome of a call.
 */
public enum CallOutcome {

	/**
	 * The complete response of a target was forwarded to the caller.
	 */
	ANSWERED,

	/**
	 * The call was not executed; the caller was told to retry later.
	 */
	REFUSED,

	/**
	 * The deadline passed before the call was executed.
	 */
	EXPIRED,

	/**
	 * The call may have been executed, but its response is lost.
	 */
	FAILED,

	/**
	 * The response was aborted after a part of it had been sent to the caller.
	 */
	BROKEN_OFF,

	/**
	 * The caller closed its connection.
	 */
	CALLER_GONE

}
