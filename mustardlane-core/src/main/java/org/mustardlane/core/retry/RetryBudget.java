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

	private final double ratio;

	private final int windowMillis;

	private final Deque<Long> firstSends = new ArrayDeque<>();

	private final Deque<Long> repeats = new ArrayDeque<>();

	/**
	 * Creates a budget of which nothing is used.
	 * @param ratio repeated sends allowed for each first send
	 * @param windowMillis length of the sliding window
	 */
	public RetryBudget(double ratio, int windowMillis) {
		this.ratio = ratio;
		this.windowMillis = windowMillis;
	}

	/**
	 * Notes the first send of a request.
	 * @param nowMillis the time
	 */
	public void firstSend(long nowMillis) {
		this.firstSends.add(nowMillis);
		forget(nowMillis);
	}

	/**
	 * Takes one repeated send if the budget allows it.
	 * @param fixedShare this router's share of the fixed number, in repeats a window
	 * @param nowMillis the time
	 * @return whether the repeat may be sent
	 */
	public boolean tryRepeat(double fixedShare, long nowMillis) {
		forget(nowMillis);
		if (this.repeats.size() + 1 > this.firstSends.size() * this.ratio + fixedShare) {
			return false;
		}
		this.repeats.add(nowMillis);
		return true;
	}

	private void forget(long nowMillis) {
		long oldestMillis = nowMillis - this.windowMillis;
		while (!this.firstSends.isEmpty() && this.firstSends.peekFirst() < oldestMillis) {
			this.firstSends.removeFirst();
		}
		while (!this.repeats.isEmpty() && this.repeats.peekFirst() < oldestMillis) {
			this.repeats.removeFirst();
		}
	}

}
