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

	private static final int PROBE_PERCENT = 10;

	private static final int ENOUGH_SAMPLES = 3;

	private static final int ENOUGH_PROBES = 2;

	private static final int FAILURES_IN_A_ROW = 2;

	private static final int LEAST_SILENCE = 8;

	private static final int SILENCE_PER_GRANT = 2;

	private static final int PROBE_INTERVAL_MILLIS = 500;

	private final SampleWindow firstTokens = new SampleWindow();

	private final SampleWindow tokenGaps = new SampleWindow();

	private int failuresInARow;

	private int pollFailuresInARow;

	private double overdueReleases;

	private boolean silent;

	private int sharePercent = FULL_PERCENT;

	private long nextProbeMillis;

	/**
	 * Takes the end of an attempt that was not broken.
	 * @param timing how fast the target was; without a first token the time waited counts
	 */
	public void answered(AttemptTiming timing) {
		boolean whole = timing.firstTokenMillis() >= 0;
		this.firstTokens.add(whole ? timing.firstTokenMillis() : timing.serviceMillis());
		if (timing.worstTokenGapMillis() >= 0) {
			this.tokenGaps.add(timing.worstTokenGapMillis());
		}
		if (whole) {
			this.failuresInARow = 0;
		}
		this.overdueReleases = 0;
		this.silent = false;
	}

	/**
	 * Takes a failed attempt.
	 */
	public void failed() {
		this.failuresInARow++;
		this.overdueReleases = 0;
	}

	/**
	 * Takes the end of a poll of the load.
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
		this.silent |= this.overdueReleases > Math.max(LEAST_SILENCE, SILENCE_PER_GRANT * granted);
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
		return this.sharePercent == 0 && nowMillis >= this.nextProbeMillis;
	}

	/**
	 * Notes that a request was granted.
	 * @param nowMillis the time
	 */
	public void granted(long nowMillis) {
		this.nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
	}

	void easeOut() {
		boolean wasOpen = isOpen();
		int halved = this.sharePercent / 2;
		this.sharePercent = (halved < PROBE_PERCENT) ? 0 : halved;
		if (wasOpen && !isOpen()) {
			this.firstTokens.clear();
			this.tokenGaps.clear();
		}
	}

	void easeIn() {
		this.sharePercent = Math.min(FULL_PERCENT, Math.max(PROBE_PERCENT, this.sharePercent * 2));
	}

	void restore() {
		this.sharePercent = FULL_PERCENT;
	}

}
