package org.mustardlane.gateway.exchange;

/**
 * Computes the retry delay that is sent to refused callers.
 */
final class RetryAfter {

	/**
	 * Targets that were overloaded or unreachable are likely to accept calls again after
	 * this time.
	 */
	private static final long MIN_DELAY_MILLIS = 200;

	/**
	 * Jitter, so that callers refused at the same time do not retry at the same time.
	 */
	private static final long MAX_JITTER_MILLIS = 400;

	private RetryAfter() {
	}

	/**
	 * Returns the delay after which a refused caller should retry.
	 * @param random random number from 0 (inclusive) to 1 (exclusive)
	 * @return the delay in milliseconds
	 */
	static long refusalDelayMillis(double random) {
		return MIN_DELAY_MILLIS + Math.round(random * MAX_JITTER_MILLIS);
	}

}
