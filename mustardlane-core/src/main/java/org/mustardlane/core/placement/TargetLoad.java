package org.mustardlane.core.placement;

import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;

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
	private static final int MAX_SAMPLE_AGE_MILLIS = 4000;

	private static final int INITIAL_PAUSE_MILLIS = 250;

	/**
	 * A full target has a free slot again after about the duration of a plain request.
	 */
	private static final int REJECTION_PAUSE_MILLIS = 60;

	private static final int MAX_PAUSE_MILLIS = 4000;

	/**
	 * Weight of the newest result in the moving average of failures, which is dominated
	 * by about the last ten results.
	 */
	private static final double FAILURE_WEIGHT = 0.1;

	private int inFlight;

	private LoadSample sample = LoadSample.NONE;

	private TargetLimit limit = TargetLimit.NONE;

	private boolean everLimited;

	private Optional<RateShare> rateShare = Optional.empty();

	private int startsSinceSample;

	private int endsSinceSample;

	private boolean responded;

	private int consecutiveFailures;

	private double failureRate;

	private long pauseEndMillis;

	private RequestedPause requestedPause = RequestedPause.NONE;

	private final BrittleGuard brittleGuard = new BrittleGuard();

	/**
	 * Records that this router sends a request to the target.
	 * @param nowMillis the current time
	 */
	public void requestStarted(long nowMillis) {
		this.rateShare.ifPresent((share) -> share.usePermit(nowMillis));
		this.inFlight++;
		this.startsSinceSample++;
	}

	/**
	 * Records that a request of this router at the target has ended, successfully or not.
	 */
	public void requestEnded() {
		this.inFlight--;
		this.endsSinceSample++;
	}

	/**
	 * Stores a load that the target reported, unless a newer one is known.
	 * @param reported the load
	 */
	public void updateSample(LoadSample reported) {
		if (reported.receivedAtMillis() <= this.sample.receivedAtMillis()) {
			return;
		}
		this.sample = reported;
		this.startsSinceSample = 0;
		this.endsSinceSample = 0;
	}

	/**
	 * Stores the limit that the target reports, unless a newer report is known.
	 * @param reported the limit
	 * @param position this router, which may use a share of the limit
	 * @return whether the target had a limit before and has none now, or the other way
	 * round
	 */
	public boolean updateLimit(TargetLimit reported, FleetPosition position) {
		if (reported.reportedAtMillis() <= this.limit.reportedAtMillis()) {
			return false;
		}
		boolean changed = reported.isLimited() != this.limit.isLimited();
		this.limit = reported;
		this.everLimited |= reported.isLimited();
		updateRateShare(position);
		return changed;
	}

	private void updateRateShare(FleetPosition position) {
		if (!this.limit.isLimited()) {
			this.rateShare = Optional.empty();
			return;
		}
		double perSecond = this.limit.perSecond().getAsDouble();
		if (this.rateShare.isEmpty()) {
			this.rateShare = Optional.of(new RateShare(position, perSecond, this.limit.reportedAtMillis()));
		}
		this.rateShare.get().setRate(position, perSecond, this.limit.reportedAtMillis());
	}

	/**
	 * Returns the time until this router may send a request without exceeding its share
	 * of the limit of the target, within the room of a target that refusals bring down,
	 * and not during a pause that the target has asked for.
	 * @param target the current entry of the target
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 if a request may be sent now
	 */
	public long millisUntilAdmitted(TargetEntry target, long nowMillis) {
		long untilPermitMillis = this.rateShare.map((share) -> share.millisUntilPermit(nowMillis)).orElse(0L);
		int slots = (this.sample.slots() > 0) ? this.sample.slots() : target.slots();
		long untilRoomMillis = this.brittleGuard.waitMillis(estimate(nowMillis), hasRecentSample(nowMillis), slots,
				nowMillis);
		return Math.max(Math.max(untilPermitMillis, untilRoomMillis),
				this.requestedPause.remainingMillis(target, nowMillis));
	}

	/**
	 * Stores whether refusals bring the target down, unless a newer report is known.
	 * @param reported the report
	 * @param position this router, which may use a share of the room
	 */
	public void updateBrittleness(Brittleness reported, FleetPosition position) {
		this.brittleGuard.update(reported, position);
	}

	/**
	 * Returns whether refusals bring the target down.
	 * @return the newest report, or {@link Brittleness#NONE} if there is none
	 */
	public Brittleness brittleness() {
		return this.brittleGuard.brittleness();
	}

	/**
	 * Records that the target wants no requests from this router for some time. A pause
	 * that ends later stays in force.
	 * @param pause the pause
	 */
	public void recordRequestedPause(RequestedPause pause) {
		this.requestedPause = this.requestedPause.combine(pause);
	}

	/**
	 * Returns the newest limit that the target reported.
	 * @return the limit, or {@link TargetLimit#NONE} if the target has never reported one
	 */
	public TargetLimit limit() {
		return this.limit;
	}

	/**
	 * Returns whether the target has ever reported a limit.
	 * @return true if other routers may believe that the target has a limit
	 */
	public boolean wasEverLimited() {
		return this.everLimited;
	}

	/**
	 * Estimates how many requests the target has running or queued.
	 * @param nowMillis the current time
	 * @return the number of requests from all routers, as far as known
	 */
	public int estimate(long nowMillis) {
		if (!hasRecentSample(nowMillis)) {
			return this.inFlight;
		}
		int reportedRequests = this.sample.running() + this.sample.waiting();
		return Math.max(this.inFlight, reportedRequests + this.startsSinceSample - this.endsSinceSample);
	}

	private boolean hasRecentSample(long nowMillis) {
		return nowMillis - this.sample.receivedAtMillis() <= MAX_SAMPLE_AGE_MILLIS;
	}

	/**
	 * Returns whether the target may have requests of other routers that the estimate
	 * does not cover, although it reports its load.
	 * @param nowMillis the current time
	 * @return true without a recent report, unless the target has responded and never
	 * reports its load
	 */
	boolean isUnknown(long nowMillis) {
		boolean mayReport = !this.responded || this.sample.receivedAtMillis() != LoadSample.NONE.receivedAtMillis();
		return mayReport && !hasRecentSample(nowMillis);
	}

	/**
	 * Records a response from the target, which ends a pause.
	 * @param failure whether the response reports a failure of the target
	 */
	public void recordResponse(boolean failure) {
		this.responded = true;
		this.consecutiveFailures = 0;
		this.pauseEndMillis = 0;
		this.failureRate += FAILURE_WEIGHT * ((failure ? 1 : 0) - this.failureRate);
	}

	/**
	 * Records that the target could not be reached or that its response was unusable or
	 * incomplete. Pauses the target, for longer after each consecutive failure.
	 * @param nowMillis the current time
	 */
	public void recordFailure(long nowMillis) {
		this.consecutiveFailures++;
		this.failureRate += FAILURE_WEIGHT * (1 - this.failureRate);
		long pauseMillis = (long) INITIAL_PAUSE_MILLIS << Math.min(10, this.consecutiveFailures - 1);
		this.pauseEndMillis = nowMillis + Math.min(MAX_PAUSE_MILLIS, pauseMillis);
	}

	/**
	 * Records that the target did not execute a request, usually because it was full.
	 * Pauses the target briefly.
	 * @param nowMillis the current time
	 */
	public void recordRejection(long nowMillis) {
		this.pauseEndMillis = Math.max(this.pauseEndMillis, nowMillis + REJECTION_PAUSE_MILLIS);
		this.brittleGuard.recordRefusal(nowMillis);
	}

	/**
	 * Returns whether requests to the target are paused.
	 * @param nowMillis the current time
	 * @return true if the target is paused
	 */
	public boolean isPaused(long nowMillis) {
		return nowMillis < this.pauseEndMillis;
	}

	/**
	 * Returns the moving average of failed requests.
	 * @return the failure rate, from 0 to 1
	 */
	public double failureRate() {
		return this.failureRate;
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
