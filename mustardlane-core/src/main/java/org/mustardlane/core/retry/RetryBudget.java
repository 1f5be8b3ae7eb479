package org.mustardlane.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of one router to one pool.
 *
 * <p>
 * In any window, the whole fleet may make a number of retries that is a ratio of its
 * first attempts plus a fixed number. Each router uses the ratio of its own first
 * attempts and an equal share of the fixed number. Not thread-safe.
 */
public final class RetryBudget {

	/**
	 * Fraction of its limit that a router uses, so that the fleet stays within its limit
	 * even if the assumed number of routers is wrong.
	 */
	private static final double SAFETY_FACTOR = 0.7;

	private final Deque<Long> firstSendTimesMillis = new ArrayDeque<>();

	private final Deque<Long> retryTimesMillis = new ArrayDeque<>();

	/**
	 * Records the first attempt of a call.
	 * @param limits the retry limits of the fleet
	 * @param nowMillis the current time
	 */
	public void recordFirstSend(RetryLimits limits, long nowMillis) {
		this.firstSendTimesMillis.add(nowMillis);
		removeOlderThan(nowMillis - limits.windowMillis());
	}

	/**
	 * Takes one retry from the budget if any is left.
	 * @param limits the retry limits of the fleet
	 * @param routers number of routers that share the fixed number of retries
	 * @param nowMillis the current time
	 * @return whether the retry may be sent
	 */
	public boolean tryAcquireRetry(RetryLimits limits, int routers, long nowMillis) {
		removeOlderThan(nowMillis - limits.windowMillis());
		double maxRetries = this.firstSendTimesMillis.size() * limits.ratio()
				+ (double) limits.fixedRepeats() / Math.max(1, routers);
		if (this.retryTimesMillis.size() + 1 > SAFETY_FACTOR * maxRetries) {
			return false;
		}
		this.retryTimesMillis.add(nowMillis);
		return true;
	}

	private void removeOlderThan(long oldestMillis) {
		while (!this.firstSendTimesMillis.isEmpty() && this.firstSendTimesMillis.peekFirst() < oldestMillis) {
			this.firstSendTimesMillis.removeFirst();
		}
		while (!this.retryTimesMillis.isEmpty() && this.retryTimesMillis.peekFirst() < oldestMillis) {
			this.retryTimesMillis.removeFirst();
		}
	}

}
