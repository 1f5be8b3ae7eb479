package org.mustardlane.core.retry;

/**
 * What to do after an attempt without a usable response.
 */
public enum NextStep {

	/**
	 * Retry at another target without charging the retry budget, because nothing was sent
	 * to the last one.
	 */
	RETRY,

	/**
	 * Retry at another target if the retry budget of the pool allows it.
	 */
	RETRY_WITHIN_BUDGET,

	/**
	 * Relay the failure response of the target to the caller.
	 */
	RELAY,

	/**
	 * End the call with an error.
	 */
	GIVE_UP

}
