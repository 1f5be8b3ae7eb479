package org.mustardlane.core.admission;

import java.util.List;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.Rendezvous;
import org.mustardlane.core.model.target.LoadReport;
import org.mustardlane.core.target.TargetHealth;

/**
 * The slots of one target, as the owner of its shard counts them.
 *
 * <p>
 * Guarded by the lock of the handler.
 */
final class TargetSlots {

	private static final int UNREPORTED = -1;

	private static final int FOREIGN_LOAD_TOLERANCE = 1;

	private static final int NO_FOREIGN_LOAD_MILLIS = 10_000;

	private static final int REPORT_VALIDITY_MILLIS = 4000;

	private final Target target;

	private final long nameHash;

	private final int[] grantedByClass = new int[ServiceClass.values().length];

	private final TargetHealth health = new TargetHealth();

	private int granted;

	private double releasesPerMilli;

	private boolean listedLeaving;

	private boolean reportedLeaving;

	private long warmUpEndMillis;

	private int reportedBusy = UNREPORTED;

	private int unreportedGranted;

	private long unreportedSinceMillis;

	private int releasedSinceReport;

	private int maxGrantedBeforeReport;

	private int maxGrantedSinceReport;

	private long reportedAtMillis;

	private long lastForeignLoadMillis;

	private long nextPollMillis;

	TargetSlots(Target target) {
		this.target = target;
		this.nameHash = Rendezvous.hash(target.id().value());
	}

	Target target() {
		return this.target;
	}

	long nameHash() {
		return this.nameHash;
	}

	int granted() {
		return this.granted;
	}

	int granted(ServiceClass serviceClass) {
		return this.grantedByClass[serviceClass.ordinal()];
	}

	TargetHealth health() {
		return this.health;
	}

	boolean isLeaving() {
		return this.listedLeaving || this.reportedLeaving;
	}

	/**
	 * Tells whether the target counts as one that takes new work.
	 * @return false where the target is leaving or eased out
	 */
	boolean isOpen() {
		return !isLeaving() && this.health.isOpen();
	}

	/**
	 * Returns the slots that may be in use: the grants, and during the warm-up of a new
	 * owner also what the target reports. A report lags by less than the time between
	 * two, so the grants since the report before it are counted on top.
	 * @param nowMillis the time
	 * @return the number of slots; all of them where nothing is known yet
	 */
	int slotsInUse(long nowMillis) {
		if (nowMillis >= this.warmUpEndMillis) {
			return this.granted;
		}
		if (this.reportedBusy == UNREPORTED) {
			return Integer.MAX_VALUE;
		}
		return Math.max(this.granted, this.reportedBusy - this.releasedSinceReport + this.unreportedGranted);
	}

	/**
	 * Returns the load of the target for the mean of the pool.
	 * @param nowMillis the time
	 * @return the grants, or during the warm-up what is reported where that is more
	 */
	int load(long nowMillis) {
		boolean useGrantsOnly = nowMillis >= this.warmUpEndMillis || this.reportedBusy == UNREPORTED;
		return useGrantsOnly ? this.granted : slotsInUse(nowMillis);
	}

	long warmUpEndMillis() {
		return this.warmUpEndMillis;
	}

	void startWarmUp(long endMillis, long firstPollMillis) {
		this.warmUpEndMillis = endMillis;
		this.reportedBusy = UNREPORTED;
		this.unreportedGranted = 0;
		this.unreportedSinceMillis = firstPollMillis;
		this.releasedSinceReport = 0;
		this.nextPollMillis = firstPollMillis;
	}

	void addGrant(Grant grant) {
		adjustCounts(grant, 1);
		this.unreportedGranted++;
		this.health.granted(grant.grantedAtMillis());
	}

	void adoptGrant(Grant grant) {
		adjustCounts(grant, 1);
	}

	void removeGrant(Grant grant) {
		adjustCounts(grant, -1);
		if (mayBeUnreported(grant)) {
			this.unreportedGranted--;
		}
		else {
			countReportedRelease();
		}
	}

	/**
	 * Counts the end of a request that an earlier owner granted.
	 */
	void countReportedRelease() {
		this.releasedSinceReport++;
	}

	private boolean mayBeUnreported(Grant grant) {
		return grant.entry().isPresent() && grant.grantedAtMillis() >= this.unreportedSinceMillis;
	}

	private void adjustCounts(Grant grant, int change) {
		this.granted += change;
		this.maxGrantedSinceReport = Math.max(this.maxGrantedSinceReport, this.granted);
		this.grantedByClass[grant.serviceClass().ordinal()] += change;
		this.releasesPerMilli += (grant.serviceMillis() > 0) ? (double) change / grant.serviceMillis() : 0;
	}

	/**
	 * Returns the mean time until the next grant is given back.
	 * @return milliseconds
	 */
	double expectedMillisToRelease() {
		return (this.releasesPerMilli > 0) ? 1 / this.releasesPerMilli : Double.MAX_VALUE;
	}

	/**
	 * Lets time pass for the health of the target.
	 * @param elapsedMillis the time that has passed
	 */
	void advance(long elapsedMillis) {
		this.health.elapse(this.releasesPerMilli * elapsedMillis, this.granted);
	}

	/**
	 * Takes a report. More requests than this owner granted since the report before are a
	 * sign that another owner grants too.
	 * @param report the report
	 * @param grants the grants of the target that are in use
	 * @param nowMillis the time
	 */
	void applyReport(LoadReport report, List<Grant> grants, long nowMillis) {
		this.unreportedSinceMillis = this.reportedAtMillis;
		this.unreportedGranted = (int) grants.stream().filter(this::mayBeUnreported).count();
		int busy = report.running() + report.waiting();
		if (busy > Math.max(this.maxGrantedBeforeReport, this.maxGrantedSinceReport) + FOREIGN_LOAD_TOLERANCE) {
			this.lastForeignLoadMillis = nowMillis;
		}
		this.reportedAtMillis = nowMillis;
		this.maxGrantedBeforeReport = this.maxGrantedSinceReport;
		this.maxGrantedSinceReport = this.granted;
		this.reportedLeaving = report.leaving();
		this.reportedBusy = report.running() + report.waiting();
		this.releasedSinceReport = 0;
	}

	/**
	 * Tells whether the reports have shown for a while that no other owner grants.
	 * @param possibleSinceMillis since when another owner is possible
	 * @param nowMillis the time
	 * @return true if the requests of the target are all granted here
	 */
	boolean hasNoForeignLoad(long possibleSinceMillis, long nowMillis) {
		return nowMillis >= Math.max(possibleSinceMillis, this.lastForeignLoadMillis) + NO_FOREIGN_LOAD_MILLIS
				&& nowMillis < this.reportedAtMillis + REPORT_VALIDITY_MILLIS;
	}

	void setListedLeaving(boolean leaving) {
		this.listedLeaving = leaving;
	}

	/**
	 * Takes a poll that is due. The first one comes at once; the phase of the later ones
	 * follows from the name, so that an owner does not poll all its targets together.
	 * @param nowMillis the time
	 * @param intervalMillis time between two polls
	 * @return whether a poll is due
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
