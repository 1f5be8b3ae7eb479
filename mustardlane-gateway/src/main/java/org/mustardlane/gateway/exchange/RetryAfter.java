package org.mustardlane.gateway.exchange;

/**
 * When callers are told to come back.
 */
final class RetryAfter {

	/**
	 * Targets that were full or out of reach are likely to take calls again after this.
	 */
	private static final long MIN_DELAY_MILLIS = 200;

	/**
	 * Spread, so that callers refused together do not come back together.
	 */
	private static final long MAX_JITTER_MILLIS = 400;

	private RetryAfter() {
	}

	/**
	 * Returns when a refused caller should come back.
	 * @param random a random number from 0 to below 1
	 * @return the wait in milliseconds
	 */
	static long refusalDelayMillis(double random) {
		return MIN_DELAY_MILLIS + Math.round(random * MAX_JITTER_MILLIS);
	}

}
