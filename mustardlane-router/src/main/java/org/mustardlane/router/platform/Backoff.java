package org.mustardlane.router.platform;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Spreads retries: waits twice as long after each failure, up to a bound, and a random
 * part less.
 *
 * <p>
 * Not thread-safe.
 */
final class Backoff {

	private static final int FIRST_MILLIS = 100;

	private static final int MOST_MILLIS = 3000;

	private int nextMillis = FIRST_MILLIS;

	/**
	 * Notes a success.
	 */
	void reset() {
		this.nextMillis = FIRST_MILLIS;
	}

	/**
	 * Notes a failure.
	 * @return how long to wait before the next try
	 */
	int failureMillis() {
		int waitMillis = ThreadLocalRandom.current().nextInt(this.nextMillis / 2, this.nextMillis + 1);
		this.nextMillis = Math.min(MOST_MILLIS, this.nextMillis * 2);
		return waitMillis;
	}

}
