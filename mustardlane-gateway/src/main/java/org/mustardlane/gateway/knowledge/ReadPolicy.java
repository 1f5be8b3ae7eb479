package org.mustardlane.gateway.knowledge;

/**
 * How a topic is polled.
 *
 * @param maxWaitMillis how long the platform may hold a read until a record arrives, 0 to
 * respond at once
 * @param delayMillis delay between the response to a read and the next read
 */
public record ReadPolicy(int maxWaitMillis, int delayMillis) {

	/**
	 * For a topic that only introduces routers to each other: a router that starts later
	 * contacts the others itself.
	 */
	public static final ReadPolicy INFREQUENT = new ReadPolicy(0, 15_000);

	/**
	 * For a topic that hardly ever changes and whose records also arrive from other
	 * routers.
	 */
	public static final ReadPolicy RARE_CHANGES = new ReadPolicy(20_000, 0);

	/**
	 * Delay between two reads as a factor of the limit for leaving targets; the rest of
	 * the limit is left for the read itself and for a slow VM.
	 */
	private static final double POLL_DELAY_FACTOR = 0.6;

	/**
	 * Creates the policy for a topic with rare changes: each read waits at the platform
	 * for the next change, but no longer than the limit, so that a silent connection is
	 * noticed soon after it.
	 * @param limitMillis maximum time until a change must be in force
	 * @return the policy
	 */
	public static ReadPolicy longPolling(int limitMillis) {
		return new ReadPolicy(limitMillis, 0);
	}

	/**
	 * Creates the policy for a topic that every target writes to continuously: long polls
	 * would return at once, so the topic is read at intervals.
	 * @param limitMillis maximum time until a leaving target must be known
	 * @return the policy
	 */
	public static ReadPolicy polling(int limitMillis) {
		return new ReadPolicy(0, (int) (limitMillis * POLL_DELAY_FACTOR));
	}

}
