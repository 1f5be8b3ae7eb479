package org.mustardlane.core.route;

import java.util.OptionalLong;

/**
 * Decides how long a call may wait for the routes of a router that has just started.
 *
 * <p>
 * Load pattern: all routers lost power at once, and callers come back while the first
 * ones read their routes. To wait a few milliseconds serves them; to wait until their
 * time is up does not.
 */
public final class StartRules {

	/**
	 * A router that has just started reads routes and targets within this time, unless
	 * the platform refuses it.
	 */
	private static final int STARTING_MILLIS = 1000;

	/**
	 * A call waits for one of so many parts of its caller's patience, so that it can
	 * still be served in time elsewhere.
	 */
	private static final int PARTS_OF_PATIENCE = 3;

	/**
	 * Another router is likely to know its routes by then.
	 */
	private static final long RETRY_MILLIS = 250;

	/**
	 * Callers heed a time to come back of up to a third of what they have left.
	 */
	private static final int PARTS_OF_REST = 4;

	private StartRules() {
	}

	/**
	 * Returns until when a call may wait for the routes.
	 * @param startedAtMillis when the router started
	 * @param arrivedAtMillis when the call arrived
	 * @param patienceMillis how long its caller waits, empty where it does not say
	 * @return the time from which on the call is to be refused
	 */
	public static long holdUntilMillis(long startedAtMillis, long arrivedAtMillis, OptionalLong patienceMillis) {
		long started = startedAtMillis + STARTING_MILLIS;
		return patienceMillis.isEmpty() ? started
				: Math.min(started, arrivedAtMillis + patienceMillis.getAsLong() / PARTS_OF_PATIENCE);
	}

	/**
	 * Returns when a caller that was refused for want of routes should come back.
	 * @param waitedMillis how long the call has waited
	 * @param patienceMillis how long its caller waits, empty where it does not say
	 * @return the wait in milliseconds
	 */
	public static long retryAfterMillis(long waitedMillis, OptionalLong patienceMillis) {
		if (patienceMillis.isEmpty()) {
			return RETRY_MILLIS;
		}
		long left = Math.max(0, patienceMillis.getAsLong() - waitedMillis);
		return Math.min(RETRY_MILLIS, left / PARTS_OF_REST);
	}

}
