package org.mustardlane.core.retry;

/**
 * What to do after an attempt without a usable answer.
 */
public enum NextStep {

	/**
	 * Try another target; nothing reached the last one.
	 */
	RETRY,

	/**
	 * Try another target if the retry budget of the pool allows it.
	 */
	RETRY_WITHIN_BUDGET,

	/**
	 * Pass the failure of the target on.
	 */
	RELAY,

	/**
	 * End the call.
	 */
	GIVE_UP

}
