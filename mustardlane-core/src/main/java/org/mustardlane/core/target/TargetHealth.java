package org.mustardlane.core.target;

import org.mustardlane.core.model.target.AttemptTiming;

/**
 * What the answers of one target tell of its speed, and the share of its slots that it
 * keeps.
 *
 * <p>
 * Three signs count: the first token and the worst gap of the newest answers, failures in
 * a row, and silence, which is the number of releases that should have come since the
 * last one. Not thread-safe.
 */
public final class TargetHealth {

	private static final int FULL_PERCENT = 100;

	private static final int OPEN_PERCENT = 50;

	private static final int LEAST_PERCENT = 10;

	private static final int ENOUGH_SAMPLES = 3;

	private static final int ENOUGH_PROBES = 2;

	private static final int FAILURES_IN_A_ROW = 2;

	private static final int LEAST_SILENCE = 8;

	private static final double SILENCE_PER_GRANT = 1.25;

	private static final int SHORTEST_PROBE_INTERVAL_MILLIS = 1000;

	private static final int LONGEST_PROBE_INTERVAL_MILLIS = 4000;

	private static final int MOST_PROBES = 2;

	private static final int LOST_PROBE_MILLIS = 5000;

	private final SampleWindow firstTokens = new SampleWindow();

	private final SampleWindow tokenGaps = new SampleWindow();

	private int failuresInARow;

	private int pollFailuresInARow;

	private double overdueReleases;

	private boolean silent;

	private int sharePercent = FULL_PERCENT;

	private long closedAtMillis;

	private long lastGrantMillis;

	private int probeIntervalMillis = SHORTEST_PROBE_INTERVAL_MILLIS;

	private int probesInFlight;

	/**
	 * Takes the end of an attempt that was not broken. What was granted before the target
	 * was closed tells nothing of its recovery.
	 * @param timing how fast the target was; without a first token the time waited counts
	 * @param grantedAtMillis when the attempt was granted
	 */
	public void answered(AttemptTiming timing, long grantedAtMillis) {
		this.overdueReleases = 0;
		if (isOpen() || grantedAtMillis >= this.closedAtMillis) {
			sample(timing);
		}
	}

	private void sample(AttemptTiming timing) {
		boolean whole = timing.firstTokenMillis() >= 0;
		this.firstTokens.add(whole ? timing.firstTokenMillis() : timing.serviceMillis());
		if (timing.worstTokenGapMillis() >= 0) {
			this.tokenGaps.add(timing.worstTokenGapMillis());
		}
		if (whole) {
			this.failuresInARow = 0;
			this.pollFailuresInARow = 0;
		}
		this.silent = false;
		this.probesInFlight = Math.max(0, this.probesInFlight - 1);
	}

	/**
	 * Takes a failed attempt.
	 */
	public void failed() {
		this.failuresInARow++;
		this.overdueReleases = 0;
		this.probesInFlight = Math.max(0, this.probesInFlight - 1);
	}

	/**
	 * Takes the end of a poll of the load. Failed polls count only where no whole answer
	 * comes between them: a target may serve well and report nothing.
	 * @param answered whether the target answered
	 */
	public void polled(boolean answered) {
		this.pollFailuresInARow = answered ? 0 : this.pollFailuresInARow + 1;
	}

	/**
	 * Lets time pass.
	 * @param expectedReleases how many releases this time should have brought
	 * @param granted the grants in use
	 */
	public void elapse(double expectedReleases, int granted) {
		this.overdueReleases = (granted == 0) ? 0 : this.overdueReleases + expectedReleases;
		this.silent |= this.overdueReleases > Math.max(LEAST_SILENCE, SILENCE_PER_GRANT * granted + 1);
	}

	boolean isFailing() {
		return this.failuresInARow >= FAILURES_IN_A_ROW || this.pollFailuresInARow >= FAILURES_IN_A_ROW;
	}

	boolean isSilent() {
		return this.silent;
	}

	boolean hasSamples() {
		return this.firstTokens.count() >= (isOpen() ? ENOUGH_SAMPLES : ENOUGH_PROBES);
	}

	SampleWindow firstTokens() {
		return this.firstTokens;
	}

	SampleWindow tokenGaps() {
		return this.tokenGaps;
	}

	/**
	 * Returns the part of the slots that the target keeps.
	 * @return the part in percent; 0 where only probes are sent
	 */
	public int sharePercent() {
		return this.sharePercent;
	}

	/**
	 * Tells whether the target counts as one that takes new work.
	 * @return false where it is eased out
	 */
	public boolean isOpen() {
		return this.sharePercent >= OPEN_PERCENT;
	}

	/**
	 * Tells whether an eased-out target may take one request to see how it fares.
	 * @param nowMillis the time
	 * @return true if a probe is due
	 */
	public boolean isProbeDue(long nowMillis) {
		boolean lost = nowMillis >= this.lastGrantMillis + LOST_PROBE_MILLIS;
		long dueMillis = this.lastGrantMillis + this.probeIntervalMillis;
		return this.sharePercent == 0 && nowMillis >= dueMillis && (lost || this.probesInFlight < MOST_PROBES);
	}

	/**
	 * Notes that a request was granted.
	 * @param nowMillis the time
	 */
	public void granted(long nowMillis) {
		this.lastGrantMillis = nowMillis;
		if (this.sharePercent == 0) {
			this.probesInFlight++;
			this.probeIntervalMillis = Math.min(LONGEST_PROBE_INTERVAL_MILLIS, 2 * this.probeIntervalMillis);
		}
	}

	void easeOut(long nowMillis) {
		boolean wasOpen = isOpen();
		int halved = this.sharePercent / 2;
		this.sharePercent = (halved < LEAST_PERCENT) ? 0 : halved;
		if (wasOpen && !isOpen()) {
			close(nowMillis);
		}
	}

	private void close(long nowMillis) {
		this.closedAtMillis = nowMillis;
		this.firstTokens.clear();
		this.tokenGaps.clear();
		this.probesInFlight = 0;
		this.probeIntervalMillis = SHORTEST_PROBE_INTERVAL_MILLIS;
	}

	void easeIn() {
		this.sharePercent = Math.min(FULL_PERCENT, Math.max(LEAST_PERCENT, this.sharePercent * 2));
	}

	void restore() {
		this.sharePercent = FULL_PERCENT;
	}

}
