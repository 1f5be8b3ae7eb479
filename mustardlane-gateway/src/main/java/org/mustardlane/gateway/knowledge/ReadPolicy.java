package org.mustardlane.gateway.knowledge;

/**
 * How often a topic is read.
 *
 * @param maxWaitMillis how long the platform may wait for a record, 0 for not at all
 * @param delayMillis pause between an answer and the next read
 */
public record ReadPolicy(int maxWaitMillis, int delayMillis) {

	/**
	 * For a topic that only introduces routers to each other; those that come later call
	 * the others themselves.
	 */
	public static final ReadPolicy INFREQUENT = new ReadPolicy(0, 15_000);

	/**
	 * Part of the bound of a change for which a read may wait: a silent connection must
	 * be noticed within the bound and the time for which a router has to be in touch.
	 */
	private static final double LONG_POLL_FACTOR = 1.4;

	/**
	 * Part of the bound of a leaving target that passes between two reads; the rest is
	 * for the read itself and for a slow VM.
	 */
	private static final double POLL_DELAY_FACTOR = 0.6;

	/**
	 * Paces a topic that changes seldom: a read waits at the log for the next change.
	 * @param limitMillis within which a change must be in force
	 * @return the pace
	 */
	public static ReadPolicy longPolling(int limitMillis) {
		return new ReadPolicy((int) (limitMillis * LONG_POLL_FACTOR), 0);
	}

	/**
	 * Paces a topic in which every target writes all the time: a waiting read would
	 * return at once, so it is read at intervals.
	 * @param limitMillis within which a leaving target must be known
	 * @return the pace
	 */
	public static ReadPolicy polling(int limitMillis) {
		return new ReadPolicy(0, (int) (limitMillis * POLL_DELAY_FACTOR));
	}

}
