package org.mustardlane.gateway.knowledge;

/**
 * How often a topic is read.
 *
 * @param waitMillis how long the platform may wait for a record, 0 for not at all
 * @param pauseMillis pause between an answer and the next read
 */
public record FollowPace(int waitMillis, int pauseMillis) {

	/**
	 * For a topic that changes seldom and must be in force within two seconds: a read
	 * waits at the log, and is short enough that a silent connection is noticed in time.
	 */
	public static final FollowPace PROMPT = new FollowPace(2000, 0);

	/**
	 * For a topic in which every target writes all the time: a waiting read would return
	 * at once, so it is read at intervals. A leaving target must be known within two
	 * seconds.
	 */
	public static final FollowPace STEADY = new FollowPace(0, 1000);

	/**
	 * For a topic that only introduces routers to each other.
	 */
	public static final FollowPace SLOW = new FollowPace(0, 5000);

}
