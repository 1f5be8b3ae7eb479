package org.mustardlane.core.admission;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.Rendezvous;
import org.mustardlane.core.model.target.LoadReport;

/**
 * The slots of one target, as the owner of its shard counts them.
 *
 * <p>
 * Guarded by the lock of the handler.
 */
final class TargetSlots {

	private static final int UNREPORTED = -1;

	private final Target target;

	private final long nameHash;

	private final int[] grantedByClass = new int[ServiceClass.values().length];

	private int granted;

	private boolean listedLeaving;

	private boolean reportedLeaving;

	private long warmUpEndMillis;

	private int reportedBusy = UNREPORTED;

	private int grantedInWarmUp;

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

	/**
	 * Tells whether the target takes new work.
	 * @return false where the target is leaving
	 */
	boolean isOpen() {
		return !this.listedLeaving && !this.reportedLeaving;
	}

	/**
	 * Returns the slots that may be in use: the grants, and during the warm-up of a new
	 * owner also what the target reports.
	 * @param nowMillis the time
	 * @return the number of slots; all of them where nothing is known yet
	 */
	int used(long nowMillis) {
		if (nowMillis >= this.warmUpEndMillis) {
			return this.granted;
		}
		if (this.reportedBusy == UNREPORTED) {
			return Integer.MAX_VALUE;
		}
		return Math.max(this.granted, this.reportedBusy + this.grantedInWarmUp);
	}

	/**
	 * Returns the load of the target for the mean of the pool.
	 * @param nowMillis the time
	 * @return the grants, or during the warm-up what is reported where that is more
	 */
	int load(long nowMillis) {
		boolean unknown = nowMillis >= this.warmUpEndMillis || this.reportedBusy == UNREPORTED;
		return unknown ? this.granted : used(nowMillis);
	}

	long warmUpEndMillis() {
		return this.warmUpEndMillis;
	}

	void startWarmUp(long endMillis, long firstPollMillis) {
		this.warmUpEndMillis = endMillis;
		this.reportedBusy = UNREPORTED;
		this.grantedInWarmUp = 0;
		this.nextPollMillis = firstPollMillis;
	}

	void addGrant(ServiceClass serviceClass) {
		this.granted++;
		this.grantedByClass[serviceClass.ordinal()]++;
		this.grantedInWarmUp++;
	}

	void adoptGrant(ServiceClass serviceClass) {
		this.granted++;
		this.grantedByClass[serviceClass.ordinal()]++;
	}

	void removeGrant(ServiceClass serviceClass) {
		this.granted--;
		this.grantedByClass[serviceClass.ordinal()]--;
	}

	void report(LoadReport report) {
		this.reportedLeaving = report.leaving();
		this.reportedBusy = report.running() + report.waiting();
	}

	void listLeaving(boolean leaving) {
		this.listedLeaving = leaving;
	}

	boolean takePollDue(long nowMillis, int intervalMillis) {
		if (nowMillis < this.nextPollMillis) {
			return false;
		}
		this.nextPollMillis = Math.max(this.nextPollMillis, nowMillis - intervalMillis) + intervalMillis;
		return true;
	}

}
