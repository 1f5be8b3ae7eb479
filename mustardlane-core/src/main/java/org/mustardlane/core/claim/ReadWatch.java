package org.mustardlane.core.claim;

/**
 * Notices that a followed stream is silent, so that it is followed anew.
 *
 * <p>
 * A stream that is followed shows a sign at least every few seconds, if only an empty
 * read or a failure. It falls silent where the order to follow was overtaken by an older
 * one to stop. Not thread-safe.
 */
public final class ReadWatch {

	private static final long SILENCE_MILLIS = 10_000;

	private long followAtMillis = Long.MAX_VALUE;

	/**
	 * Notes that the stream is to be followed, has been read or could not be read.
	 * @param nowMillis the time
	 */
	public void sign(long nowMillis) {
		this.followAtMillis = nowMillis + SILENCE_MILLIS;
	}

	/**
	 * Returns whether the stream is to be followed anew; the wait starts again then.
	 * @param nowMillis the time
	 * @return whether it has been silent for too long
	 */
	public boolean isSilent(long nowMillis) {
		if (this.followAtMillis == Long.MAX_VALUE) {
			sign(nowMillis);
		}
		boolean silent = nowMillis >= this.followAtMillis;
		if (silent) {
			sign(nowMillis);
		}
		return silent;
	}

}
