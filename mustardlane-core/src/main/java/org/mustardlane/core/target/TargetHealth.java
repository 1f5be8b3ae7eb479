package org.mustardlane.core.target;

import org.mustardlane.core.model.target.AttemptTiming;

/**
 * The health of one target and the share of its slots that may be granted.
 *
 * <p>
 * Health is judged by three signals: the time to first token and the worst token gap of
 * the most recent responses, consecutive failures, and silence. A target is silent if at
 * the expected rate many of its grants should have been released, but none has been. Not
 * thread-safe.
 */
public final class TargetHealth {

	private static final int FULL_PERCENT = 100;

	private static final int MIN_OPEN_PERCENT = 50;

	private static final int MIN_SHARE_PERCENT = 10;

	private static final int MIN_SAMPLES_WHILE_OPEN = 3;

	private static final int MIN_SAMPLES_WHILE_CLOSED = 2;

	private static final int MIN_CONSECUTIVE_FAILURES = 2;

	private static final int MIN_SILENT_RELEASES = 8;

	private static final double SILENT_RELEASES_PER_GRANT = 1.25;

	private static final int MIN_PROBE_INTERVAL_MILLIS = 1000;

	private static final int MAX_PROBE_INTERVAL_MILLIS = 4000;

	private static final int MAX_PROBES_IN_FLIGHT = 2;

	private static final int PROBE_TIMEOUT_MILLIS = 5000;

	private final SampleWindow firstTokens = new SampleWindow();

	private final SampleWindow tokenGaps = new SampleWindow();

	private int consecutiveFailures;

	private int consecutivePollFailures;

	private double overdueReleases;

	private boolean silent;

	private int slotSharePercent = FULL_PERCENT;

	private long closedAtMillis;

	private long lastGrantMillis;

	private int probeIntervalMillis = MIN_PROBE_INTERVAL_MILLIS;

	private int probesInFlight;

	/**
	 * Records an attempt that did not fail. If the target is closed, attempts granted
	 * before the closure are ignored, because they say nothing about its recovery.
	 * @param timing the timing of the attempt; without a first token, its service time is
	 * used instead
	 * @param grantedAtMillis time at which the attempt was granted
	 */
	public void recordResponse(AttemptTiming timing, long grantedAtMillis) {
		this.overdueReleases = 0;
		if (isOpen() || grantedAtMillis >= this.closedAtMillis) {
			addSample(timing);
		}
	}

	private void addSample(AttemptTiming timing) {
		boolean hasFirstToken = timing.firstTokenMillis() >= 0;
		this.firstTokens.add(hasFirstToken ? timing.firstTokenMillis() : timing.serviceMillis());
		if (timing.worstTokenGapMillis() >= 0) {
			this.tokenGaps.add(timing.worstTokenGapMillis());
		}
		if (hasFirstToken) {
			this.consecutiveFailures = 0;
			this.consecutivePollFailures = 0;
		}
		this.silent = false;
		this.probesInFlight = Math.max(0, this.probesInFlight - 1);
	}

	/**
	 * Records a failed attempt.
	 */
	public void recordFailure() {
		this.consecutiveFailures++;
		this.overdueReleases = 0;
		this.probesInFlight = Math.max(0, this.probesInFlight - 1);
	}

	/**
	 * Records a poll of the target's load. Failed polls count as failures only if no
	 * response with a first token arrives in between, because a target may serve requests
	 * well and yet not report its load.
	 * @param succeeded whether the target responded to the poll
	 */
	public void recordPoll(boolean succeeded) {
		this.consecutivePollFailures = succeeded ? 0 : this.consecutivePollFailures + 1;
	}

	/**
	 * Adds the releases that were expected in the elapsed time and checks whether the
	 * target has become silent.
	 * @param expectedReleases number of releases expected in the elapsed time
	 * @param granted number of grants in use
	 */
	public void addExpectedReleases(double expectedReleases, int granted) {
		this.overdueReleases = (granted == 0) ? 0 : this.overdueReleases + expectedReleases;
		this.silent |= this.overdueReleases > Math.max(MIN_SILENT_RELEASES, SILENT_RELEASES_PER_GRANT * granted + 1);
	}

	boolean isFailing() {
		return this.consecutiveFailures >= MIN_CONSECUTIVE_FAILURES
				|| this.consecutivePollFailures >= MIN_CONSECUTIVE_FAILURES;
	}

	boolean isSilent() {
		return this.silent;
	}

	boolean hasSamples() {
		return this.firstTokens.count() >= (isOpen() ? MIN_SAMPLES_WHILE_OPEN : MIN_SAMPLES_WHILE_CLOSED);
	}

	SampleWindow firstTokens() {
		return this.firstTokens;
	}

	SampleWindow tokenGaps() {
		return this.tokenGaps;
	}

	/**
	 * Returns the share of the target's slots that may be granted.
	 * @return the share in percent; 0 if the target receives only probes
	 */
	public int slotSharePercent() {
		return this.slotSharePercent;
	}

	/**
	 * Returns whether the target counts as open, which means that at least half of its
	 * slots may be granted.
	 * @return true if the target is open
	 */
	public boolean isOpen() {
		return this.slotSharePercent >= MIN_OPEN_PERCENT;
	}

	/**
	 * Returns whether a target without a slot share may be sent one request to find out
	 * whether it has recovered.
	 * @param nowMillis the current time
	 * @return true if a probe is due
	 */
	public boolean isProbeDue(long nowMillis) {
		boolean probeTimedOut = nowMillis >= this.lastGrantMillis + PROBE_TIMEOUT_MILLIS;
		long dueMillis = this.lastGrantMillis + this.probeIntervalMillis;
		return this.slotSharePercent == 0 && nowMillis >= dueMillis
				&& (probeTimedOut || this.probesInFlight < MAX_PROBES_IN_FLIGHT);
	}

	/**
	 * Records that a request was granted to the target.
	 * @param nowMillis the current time
	 */
	public void recordGrant(long nowMillis) {
		this.lastGrantMillis = nowMillis;
		if (this.slotSharePercent == 0) {
			this.probesInFlight++;
			this.probeIntervalMillis = Math.min(MAX_PROBE_INTERVAL_MILLIS, 2 * this.probeIntervalMillis);
		}
	}

	void reduceShare(long nowMillis) {
		boolean wasOpen = isOpen();
		int halvedPercent = this.slotSharePercent / 2;
		this.slotSharePercent = (halvedPercent < MIN_SHARE_PERCENT) ? 0 : halvedPercent;
		if (wasOpen && !isOpen()) {
			close(nowMillis);
		}
	}

	private void close(long nowMillis) {
		this.closedAtMillis = nowMillis;
		this.firstTokens.clear();
		this.tokenGaps.clear();
		this.probesInFlight = 0;
		this.probeIntervalMillis = MIN_PROBE_INTERVAL_MILLIS;
	}

	void increaseShare() {
		this.slotSharePercent = Math.min(FULL_PERCENT, Math.max(MIN_SHARE_PERCENT, this.slotSharePercent * 2));
	}

	void restoreFullShare() {
		this.slotSharePercent = FULL_PERCENT;
	}

}
