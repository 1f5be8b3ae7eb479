package org.mustardlane.core.admission;

import java.util.List;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.target.LoadReport;
import org.mustardlane.core.target.TargetHealth;

/**
 * Tracks the slots of one target on behalf of the owner of its shard.
 *
 * <p>
 * Not thread-safe; guarded by the lock of {@link AdmissionHandler}.
 */
final class TargetSlots {

	/**
	 * Value of the reported load until the first load report of a warm-up arrives.
	 */
	private static final int NO_REPORT = -1;

	private static final int FOREIGN_LOAD_TOLERANCE = 1;

	private static final int NO_FOREIGN_LOAD_MILLIS = 10_000;

	private static final int REPORT_VALIDITY_MILLIS = 4000;

	private final Target target;

	private final long nameHash;

	private final int[] grantCountsByClass = new int[ServiceClass.values().length];

	private final TargetHealth health = new TargetHealth();

	private int grantCount;

	private double releasesPerMilli;

	private boolean listedLeaving;

	private boolean reportedLeaving;

	private long warmUpEndMillis;

	private int reportedLoad = NO_REPORT;

	private int unreportedGrants;

	private long unreportedSinceMillis;

	private int releasesSinceReport;

	private int maxGrantsBeforeReport;

	private int maxGrantsSinceReport;

	private long reportedAtMillis;

	private long lastForeignLoadMillis;

	private long nextPollMillis;

	TargetSlots(Target target) {
		this.target = target;
		this.nameHash = RendezvousHash.hash(target.id().value());
	}

	Target target() {
		return this.target;
	}

	long nameHash() {
		return this.nameHash;
	}

	int grantCount() {
		return this.grantCount;
	}

	int grantCount(ServiceClass serviceClass) {
		return this.grantCountsByClass[serviceClass.ordinal()];
	}

	TargetHealth health() {
		return this.health;
	}

	boolean isLeaving() {
		return this.listedLeaving || this.reportedLeaving;
	}

	/**
	 * Checks whether the target accepts new requests.
	 * @return false if the target is leaving or its health keeps it closed
	 */
	boolean isOpen() {
		return !isLeaving() && this.health.isOpen();
	}

	/**
	 * Returns the number of slots that may be in use. During the warm-up of a new owner
	 * this includes the reported load. A report is delayed by less than one poll
	 * interval, so grants issued since the previous report are added to it.
	 * @param nowMillis the current time in milliseconds
	 * @return the number of slots; {@link Integer#MAX_VALUE} before the first report of a
	 * warm-up
	 */
	int slotsInUse(long nowMillis) {
		if (nowMillis >= this.warmUpEndMillis) {
			return this.grantCount;
		}
		if (this.reportedLoad == NO_REPORT) {
			return Integer.MAX_VALUE;
		}
		return Math.max(this.grantCount, this.reportedLoad - this.releasesSinceReport + this.unreportedGrants);
	}

	/**
	 * Returns the load of the target, for the mean load of the pool.
	 * @param nowMillis the current time in milliseconds
	 * @return the number of grants; during the warm-up the reported load if higher
	 */
	int load(long nowMillis) {
		boolean useGrantsOnly = nowMillis >= this.warmUpEndMillis || this.reportedLoad == NO_REPORT;
		return useGrantsOnly ? this.grantCount : slotsInUse(nowMillis);
	}

	long warmUpEndMillis() {
		return this.warmUpEndMillis;
	}

	void startWarmUp(long endMillis, long firstPollMillis) {
		this.warmUpEndMillis = endMillis;
		this.reportedLoad = NO_REPORT;
		this.unreportedGrants = 0;
		this.unreportedSinceMillis = firstPollMillis;
		this.releasesSinceReport = 0;
		this.nextPollMillis = firstPollMillis;
	}

	void addGrant(Grant grant) {
		adjustCounts(grant, 1);
		this.unreportedGrants++;
		this.health.recordGrant(grant.grantedAtMillis());
	}

	void adoptGrant(Grant grant) {
		adjustCounts(grant, 1);
	}

	void removeGrant(Grant grant) {
		adjustCounts(grant, -1);
		if (mayBeUnreported(grant)) {
			this.unreportedGrants--;
		}
		else {
			countReportedRelease();
		}
	}

	/**
	 * Counts a release of a grant that the latest report may include.
	 */
	void countReportedRelease() {
		this.releasesSinceReport++;
	}

	private boolean mayBeUnreported(Grant grant) {
		return grant.entry().isPresent() && grant.grantedAtMillis() >= this.unreportedSinceMillis;
	}

	private void adjustCounts(Grant grant, int change) {
		this.grantCount += change;
		this.maxGrantsSinceReport = Math.max(this.maxGrantsSinceReport, this.grantCount);
		this.grantCountsByClass[grant.serviceClass().ordinal()] += change;
		this.releasesPerMilli += (grant.serviceMillis() > 0) ? (double) change / grant.serviceMillis() : 0;
	}

	/**
	 * Returns the expected time until the next grant is released.
	 * @return the time in milliseconds, {@link Double#MAX_VALUE} if unknown
	 */
	double expectedMillisToRelease() {
		return (this.releasesPerMilli > 0) ? 1 / this.releasesPerMilli : Double.MAX_VALUE;
	}

	/**
	 * Advances the estimate of overdue releases that the health check uses.
	 * @param elapsedMillis time since the last call
	 */
	void advance(long elapsedMillis) {
		this.health.addExpectedReleases(this.releasesPerMilli * elapsedMillis, this.grantCount);
	}

	/**
	 * Applies a load report. A reported load above the highest number of grants held here
	 * in the last two report intervals indicates that another owner grants slots too.
	 * @param report the load report
	 * @param grants the current grants of the target
	 * @param nowMillis the current time in milliseconds
	 */
	void applyReport(LoadReport report, List<Grant> grants, long nowMillis) {
		this.unreportedSinceMillis = this.reportedAtMillis;
		this.unreportedGrants = (int) grants.stream().filter(this::mayBeUnreported).count();
		int newLoad = report.running() + report.waiting();
		if (newLoad > Math.max(this.maxGrantsBeforeReport, this.maxGrantsSinceReport) + FOREIGN_LOAD_TOLERANCE) {
			this.lastForeignLoadMillis = nowMillis;
		}
		this.reportedAtMillis = nowMillis;
		this.maxGrantsBeforeReport = this.maxGrantsSinceReport;
		this.maxGrantsSinceReport = this.grantCount;
		this.reportedLeaving = report.leaving();
		this.reportedLoad = report.running() + report.waiting();
		this.releasesSinceReport = 0;
	}

	/**
	 * Checks whether load reports have shown no grants of another owner for some time.
	 * @param possibleSinceMillis time since which there may be another owner
	 * @param nowMillis the current time in milliseconds
	 * @return true if all requests on the target were granted here
	 */
	boolean hasNoForeignLoad(long possibleSinceMillis, long nowMillis) {
		return nowMillis >= Math.max(possibleSinceMillis, this.lastForeignLoadMillis) + NO_FOREIGN_LOAD_MILLIS
				&& nowMillis < this.reportedAtMillis + REPORT_VALIDITY_MILLIS;
	}

	void setListedLeaving(boolean leaving) {
		this.listedLeaving = leaving;
	}

	/**
	 * Schedules the next poll if one is due now. The first poll is due at once. The hash
	 * of the target name sets the phase of the later ones, so that an owner does not poll
	 * all its targets at the same time.
	 * @param nowMillis the current time in milliseconds
	 * @param intervalMillis time between two polls
	 * @return true if a poll is due now
	 */
	boolean advancePollIfDue(long nowMillis, int intervalMillis) {
		if (nowMillis < this.nextPollMillis) {
			return false;
		}
		long phaseMillis = Math.floorMod(this.nameHash, intervalMillis);
		this.nextPollMillis = nowMillis - Math.floorMod(nowMillis - phaseMillis, intervalMillis) + intervalMillis;
		return true;
	}

}
