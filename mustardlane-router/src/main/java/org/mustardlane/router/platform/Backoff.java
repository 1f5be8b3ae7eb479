package org.mustardlane.router.platform;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Exponential backoff with jitter. Each delay is drawn at random between half the current
 * bound and the bound, which doubles after each failure up to a maximum.
 *
 * <p>
 * Not thread-safe.
 */
final class Backoff {

	private static final int INITIAL_BOUND_MILLIS = 100;

	private static final int MAX_BOUND_MILLIS = 3000;

	private int boundMillis = INITIAL_BOUND_MILLIS;

	/**
	 * Resets the delay after a success.
	 */
	void reset() {
		this.boundMillis = INITIAL_BOUND_MILLIS;
	}

	/**
	 * Doubles the bound of the delay after a failure.
	 * @return the delay before the next retry
	 */
	int nextDelayMillis() {
		int delayMillis = ThreadLocalRandom.current().nextInt(this.boundMillis / 2, this.boundMillis + 1);
		this.boundMillis = Math.min(MAX_BOUND_MILLIS, this.boundMillis * 2);
		return delayMillis;
	}

}
