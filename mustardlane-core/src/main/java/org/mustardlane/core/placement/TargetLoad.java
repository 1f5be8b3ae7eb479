package org.mustardlane.core.placement;

/**
 * What one router knows of the load and the health of one target.
 *
 * <p>
 * Two sources count: what this router has in flight there, and the newest load that the
 * target stated in an answer to any router. Not thread-safe.
 */
public final class TargetLoad {

	/**
	 * A stated load older than this says little of streams that last a few seconds.
	 */
	private static final int SAMPLE_LIFETIME_MILLIS = 4000;

	private static final int FIRST_PAUSE_MILLIS = 250;

	/**
	 * A full target has room again after about the length of a plain request.
	 */
	private static final int FULL_PAUSE_MILLIS = 60;

	private static final int LONGEST_PAUSE_MILLIS = 4000;

	/**
	 * Weight of the newest answer in the failure share; some ten answers decide.
	 */
	private static final double FAILURE_WEIGHT = 0.1;

	private int inFlight;

	private LoadSample sample = LoadSample.NONE;

	private int startedSinceSample;

	private int endedSinceSample;

	private int failuresInARow;

	private double failureShare;

	private long pausedUntilMillis;

	/**
	 * Notes that a request is sent to the target.
	 */
	public void started() {
		this.inFlight++;
		this.startedSinceSample++;
	}

	/**
	 * Notes that a request at the target has ended, in whatever way.
	 */
	public void ended() {
		this.inFlight--;
		this.endedSinceSample++;
	}

	/**
	 * Takes a stated load unless a newer one is known.
	 * @param stated the load
	 */
	public void stated(LoadSample stated) {
		if (stated.seenAtMillis() <= this.sample.seenAtMillis()) {
			return;
		}
		this.sample = stated;
		this.startedSinceSample = 0;
		this.endedSinceSample = 0;
	}

	/**
	 * Estimates how many requests the target holds.
	 * @param nowMillis the time
	 * @return requests that run or wait there, of all routers as far as known
	 */
	public int estimate(long nowMillis) {
		if (nowMillis - this.sample.seenAtMillis() > SAMPLE_LIFETIME_MILLIS) {
			return this.inFlight;
		}
		int stated = this.sample.running() + this.sample.waiting();
		return Math.max(this.inFlight, stated + this.startedSinceSample - this.endedSinceSample);
	}

	/**
	 * Takes an answer of the target itself.
	 * @param failure whether the answer is a failure of the target
	 */
	public void answered(boolean failure) {
		this.failuresInARow = 0;
		this.pausedUntilMillis = 0;
		this.failureShare += FAILURE_WEIGHT * ((failure ? 1 : 0) - this.failureShare);
	}

	/**
	 * Notes that the target could not be reached or broke an answer off.
	 * @param nowMillis the time
	 */
	public void failed(long nowMillis) {
		this.failuresInARow++;
		this.failureShare += FAILURE_WEIGHT * (1 - this.failureShare);
		long pause = (long) FIRST_PAUSE_MILLIS << Math.min(10, this.failuresInARow - 1);
		this.pausedUntilMillis = nowMillis + Math.min(LONGEST_PAUSE_MILLIS, pause);
	}

	/**
	 * Notes that the target refused a request for want of room.
	 * @param nowMillis the time
	 */
	public void refused(long nowMillis) {
		this.pausedUntilMillis = Math.max(this.pausedUntilMillis, nowMillis + FULL_PAUSE_MILLIS);
	}

	/**
	 * Tells whether the target should be left alone for now.
	 * @param nowMillis the time
	 * @return true while the pause lasts
	 */
	public boolean isPaused(long nowMillis) {
		return nowMillis < this.pausedUntilMillis;
	}

	/**
	 * Returns the share of the newest answers that failed.
	 * @return from 0 to 1
	 */
	public double failureShare() {
		return this.failureShare;
	}

	/**
	 * Returns how many requests of this router the target holds.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the newest stated load.
	 * @return the load, {@link LoadSample#NONE} where none was stated
	 */
	public LoadSample sample() {
		return this.sample;
	}

}
