package org.mustardlane.gateway.exchange;

/**
 * When callers are told to come back.
 */
final class RetryTimes {

	/**
	 * Targets that were full or out of reach are likely to take calls again after this.
	 */
	private static final long LEAST_MILLIS = 200;

	/**
	 * Spread, so that callers refused together do not come back together.
	 */
	private static final long SPREAD_MILLIS = 400;

	private RetryTimes() {
	}

	/**
	 * Returns when a refused caller should come back.
	 * @param draw a random number from 0 to below 1
	 * @return the wait in milliseconds
	 */
	static long afterRefusal(double draw) {
		return LEAST_MILLIS + Math.round(draw * SPREAD_MILLIS);
	}

}
