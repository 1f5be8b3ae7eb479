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
	private static final double USED_PART = 0.7;

	private final Deque<Long> firstSends = new ArrayDeque<>();

	private final Deque<Long> repeats = new ArrayDeque<>();

	/**
	 * Records the first attempt of a call.
	 * @param limits the retry limits of the fleet
	 * @param nowMillis the current time
	 */
	public void firstSend(RetryLimits limits, long nowMillis) {
		this.firstSends.add(nowMillis);
		forget(nowMillis - limits.windowMillis());
	}

	/**
	 * Takes one retry from the budget if any is left.
	 * @param limits the retry limits of the fleet
	 * @param routers number of routers that share the fixed number of retries
	 * @param nowMillis the current time
	 * @return whether the retry may be sent
	 */
	public boolean tryRepeat(RetryLimits limits, int routers, long nowMillis) {
		forget(nowMillis - limits.windowMillis());
		double allowed = this.firstSends.size() * limits.ratio()
				+ (double) limits.fixedRepeats() / Math.max(1, routers);
		if (this.repeats.size() + 1 > USED_PART * allowed) {
			return false;
		}
		this.repeats.add(nowMillis);
		return true;
	}

	private void forget(long oldestMillis) {
		while (!this.firstSends.isEmpty() && this.firstSends.peekFirst() < oldestMillis) {
			this.firstSends.removeFirst();
		}
		while (!this.repeats.isEmpty() && this.repeats.peekFirst() < oldestMillis) {
			this.repeats.removeFirst();
		}
	}

}
