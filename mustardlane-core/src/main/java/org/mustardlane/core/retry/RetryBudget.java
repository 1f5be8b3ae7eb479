package org.mustardlane.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the repeated sends of one router to one pool.
 *
 * <p>
 * The bound of the fleet is a ratio of the first sends plus a fixed number in any window.
 * Each router may use the ratio of its own first sends and its share of the fixed number.
 * Not thread-safe.
 */
public final class RetryBudget {

	/**
	 * Part of the limits that is used, so that an error in the number of routers does not
	 * pass the bound of the fleet.
	 */
	private static final double USED_PART = 0.7;

	private final Deque<Long> firstSends = new ArrayDeque<>();

	private final Deque<Long> repeats = new ArrayDeque<>();

	/**
	 * Notes the first send of a request.
	 * @param limits the limits of the fleet
	 * @param nowMillis the time
	 */
	public void firstSend(RetryLimits limits, long nowMillis) {
		this.firstSends.add(nowMillis);
		forget(nowMillis - limits.windowMillis());
	}

	/**
	 * Takes one repeated send if the budget allows it.
	 * @param limits the limits of the fleet
	 * @param routers how many routers share the fixed number
	 * @param nowMillis the time
	 * @return whether the repeat may be sent
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
