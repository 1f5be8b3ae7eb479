package org.mustardlane.core.route;

import java.util.OptionalLong;

/**
 * Decides how long a call is deferred while a router that has just started loads its
 * routes.
 *
 * <p>
 * After a power failure of all routers, callers return while the first routers are still
 * loading their routes. Deferring these calls briefly lets them succeed, whereas
 * deferring them until they time out does not. Thread-safe: all methods are pure
 * functions.
 */
public final class StartupRules {

	/**
	 * A router loads its routes and targets within this time after its start, unless the
	 * platform refuses to serve them.
	 */
	private static final int MAX_LOADING_MILLIS = 1000;

	/**
	 * A call is deferred for at most a third of its timeout, so that another router can
	 * still serve it in time.
	 */
	private static final int DEFERRAL_TIME_DIVISOR = 3;

	/**
	 * After this delay, another router has probably loaded its routes.
	 */
	private static final long MAX_RETRY_DELAY_MILLIS = 250;

	/**
	 * Callers respect a retry delay of up to a third of their remaining time. A quarter
	 * leaves a margin.
	 */
	private static final int RETRY_DELAY_DIVISOR = 4;

	private StartupRules() {
	}

	/**
	 * Returns the deadline until which a call may be deferred.
	 * @param startedAtMillis time at which the router started
	 * @param arrivedAtMillis time at which the call arrived
	 * @param callTimeoutMillis how long the caller waits for a response, empty if unknown
	 * @return the time from which on the call is rejected
	 */
	public static long deferralDeadlineMillis(long startedAtMillis, long arrivedAtMillis,
			OptionalLong callTimeoutMillis) {
		long loadingDeadlineMillis = startedAtMillis + MAX_LOADING_MILLIS;
		return callTimeoutMillis.isEmpty() ? loadingDeadlineMillis : Math.min(loadingDeadlineMillis,
				arrivedAtMillis + callTimeoutMillis.getAsLong() / DEFERRAL_TIME_DIVISOR);
	}

	/**
	 * Returns the delay after which a caller should retry a call that was rejected
	 * because the routes were not loaded.
	 * @param waitedMillis how long the call was deferred
	 * @param callTimeoutMillis how long the caller waits for a response, empty if unknown
	 * @return the delay in milliseconds
	 */
	public static long retryAfterMillis(long waitedMillis, OptionalLong callTimeoutMillis) {
		if (callTimeoutMillis.isEmpty()) {
			return MAX_RETRY_DELAY_MILLIS;
		}
		long remainingMillis = Math.max(0, callTimeoutMillis.getAsLong() - waitedMillis);
		return Math.min(MAX_RETRY_DELAY_MILLIS, remainingMillis / RETRY_DELAY_DIVISOR);
	}

}
