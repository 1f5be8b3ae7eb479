package org.mustardlane.core.claim;

/**
 * Detects that a followed stream has gone silent, so that the caller can follow it again.
 *
 * <p>
 * A followed stream reports a read, even if it is empty, or a failure every few seconds.
 * It goes silent if the actions to follow and to unfollow it took effect in the wrong
 * order. Not thread-safe.
 */
public final class StreamWatchdog {

	private static final long TIMEOUT_MILLIS = 10_000;

	private long expiryMillis = Long.MAX_VALUE;

	/**
	 * Restarts the timeout, when the stream is followed or a read succeeds or fails.
	 * @param nowMillis current time of this VM in milliseconds
	 */
	public void restart(long nowMillis) {
		this.expiryMillis = nowMillis + TIMEOUT_MILLIS;
	}

	/**
	 * Returns whether the timeout has passed, and restarts it if so.
	 * @param nowMillis current time of this VM in milliseconds
	 * @return whether the stream has been silent for too long and must be followed again
	 */
	public boolean checkExpired(long nowMillis) {
		if (this.expiryMillis == Long.MAX_VALUE) {
			restart(nowMillis);
		}
		boolean expired = nowMillis >= this.expiryMillis;
		if (expired) {
			restart(nowMillis);
		}
		return expired;
	}

}
