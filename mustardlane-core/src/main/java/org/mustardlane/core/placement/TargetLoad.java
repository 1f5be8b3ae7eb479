package org.mustardlane.core.placement;

/**
 * The load and the health of one target, as known to this router.
 *
 * <p>
 * The load is estimated from the requests that this router has in flight at the target
 * and from the newest load that the target reported to any router. Not thread-safe.
 */
public final class TargetLoad {

	/**
	 * Streams last a few seconds, so an older load sample says little about the current
	 * load.
	 */
	private static final int SAMPLE_LIFETIME_MILLIS = 4000;

	private static final int FIRST_PAUSE_MILLIS = 250;

	/**
	 * A full target has a free slot again after about the duration of a plain request.
	 */
	private static final int FULL_PAUSE_MILLIS = 60;

	private static final int LONGEST_PAUSE_MILLIS = 4000;

	/**
	 * Weight of the newest result in the moving average of failures, which is dominated
	 * by about the last ten results.
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
	 * Records that this router sends a request to the target.
	 */
	public void started() {
		this.inFlight++;
		this.startedSinceSample++;
	}

	/**
	 * Records that a request of this router at the target has ended, successfully or not.
	 */
	public void ended() {
		this.inFlight--;
		this.endedSinceSample++;
	}

	/**
	 * Stores a load that the target reported, unless a newer one is known.
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
	 * Estimates how many requests the target has running or queued.
	 * @param nowMillis the current time
	 * @return the number of requests from all routers, as far as known
	 */
	public int estimate(long nowMillis) {
		if (nowMillis - this.sample.seenAtMillis() > SAMPLE_LIFETIME_MILLIS) {
			return this.inFlight;
		}
		int stated = this.sample.running() + this.sample.waiting();
		return Math.max(this.inFlight, stated + this.startedSinceSample - this.endedSinceSample);
	}

	/**
	 * Records a response from the target, which ends a pause.
	 * @param failure whether the response reports a failure of the target
	 */
	public void answered(boolean failure) {
		this.failuresInARow = 0;
		this.pausedUntilMillis = 0;
		this.failureShare += FAILURE_WEIGHT * ((failure ? 1 : 0) - this.failureShare);
	}

	/**
	 * Records that the target could not be reached or that its response was unusable or
	 * incomplete. Pauses the target, for longer after each consecutive failure.
	 * @param nowMillis the current time
	 */
	public void failed(long nowMillis) {
		this.failuresInARow++;
		this.failureShare += FAILURE_WEIGHT * (1 - this.failureShare);
		long pause = (long) FIRST_PAUSE_MILLIS << Math.min(10, this.failuresInARow - 1);
		this.pausedUntilMillis = nowMillis + Math.min(LONGEST_PAUSE_MILLIS, pause);
	}

	/**
	 * Records that the target did not execute a request, usually because it was full.
	 * Pauses the target briefly.
	 * @param nowMillis the current time
	 */
	public void refused(long nowMillis) {
		this.pausedUntilMillis = Math.max(this.pausedUntilMillis, nowMillis + FULL_PAUSE_MILLIS);
	}

	/**
	 * Returns whether requests to the target are paused.
	 * @param nowMillis the current time
	 * @return true if the target is paused
	 */
	public boolean isPaused(long nowMillis) {
		return nowMillis < this.pausedUntilMillis;
	}

	/**
	 * Returns the moving average of failed requests.
	 * @return the failure rate, from 0 to 1
	 */
	public double failureShare() {
		return this.failureShare;
	}

	/**
	 * Returns how many requests this router has in flight at the target.
	 * @return the number of requests
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the newest load that the target reported.
	 * @return the load, or {@link LoadSample#NONE} if the target has not reported any
	 */
	public LoadSample sample() {
		return this.sample;
	}

}
