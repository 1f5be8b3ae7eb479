package org.mustardlane.core.retry;

import org.mustardlane.core.route.RequestSemantics;

/**
 * Decides for how long an idle connection to the targets of one pool may be used again.
 *
 * <p>
 * A target may drop an idle connection without notice. A request that is sent on such a
 * connection fails, and it is unknown whether it was executed. The limit is therefore
 * short for requests that must be executed at most once, and short for all requests that
 * are not repeatable after the pool was seen to drop a connection. Not thread-safe.
 */
public final class ConnectionReusePolicy {

	/**
	 * A failed request of this kind is sent again to another target.
	 */
	private static final int REPEATABLE_IDLE_MILLIS = 4000;

	/**
	 * Servers close idle connections after seconds.
	 */
	private static final int STREAM_IDLE_MILLIS = 2500;

	/**
	 * About a round trip between regions: a target that has just responded still holds
	 * its connection.
	 */
	private static final int BRIEF_IDLE_MILLIS = 200;

	private static final int CAUTION_MILLIS = 30_000;

	private long cautionEndMillis = Long.MIN_VALUE;

	/**
	 * Returns for how long a connection may have been idle to carry a request.
	 * @param semantics whether the request may be executed more than once
	 * @param nowMillis the current time
	 * @return the limit in milliseconds
	 */
	public int maxIdleMillis(RequestSemantics semantics, long nowMillis) {
		if (semantics.isRepeatable()) {
			return REPEATABLE_IDLE_MILLIS;
		}
		boolean isCautious = nowMillis < this.cautionEndMillis;
		return (semantics.isStream() && !isCautious) ? STREAM_IDLE_MILLIS : BRIEF_IDLE_MILLIS;
	}

	/**
	 * Records that a reused connection ended before the response to its request began.
	 * @param nowMillis the current time
	 */
	public void recordDroppedConnection(long nowMillis) {
		this.cautionEndMillis = nowMillis + CAUTION_MILLIS;
	}

	/**
	 * Returns for how long any request may use an idle connection.
	 * @return the limit in milliseconds, after which an idle connection is closed
	 */
	public static int longestIdleMillis() {
		return REPEATABLE_IDLE_MILLIS;
	}

}
