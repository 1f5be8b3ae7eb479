package org.mustardlane.core.admission;

import org.mustardlane.core.model.catalogue.ServiceClass;

/**
 * How many slots each class may hold.
 *
 * <p>
 * A part of the shard is kept for urgent work while some is about. Bulk work leaves room
 * for the shorter work that was seen lately, and never holds more than a set part of a
 * target while shorter work is about.
 */
final class SlotLimits {

	private static final int PERCENT = 100;

	private static final double NON_BULK_DEVIATIONS = 1;

	/**
	 * Nothing is kept for urgent work where a slot comes free within this time anyway.
	 */
	private static final double MAX_URGENT_WAIT_MILLIS = 50;

	private final AdmissionSettings settings;

	SlotLimits(AdmissionSettings settings) {
		this.settings = settings;
	}

	/**
	 * Tells whether a shard has room for a class at all.
	 * @param shard the shard
	 * @param serviceClass the class
	 * @param nowMillis the time
	 * @return false where what is left is kept for other classes
	 */
	boolean admits(Shard shard, ServiceClass serviceClass, long nowMillis) {
		int freeSlots = shard.openSlots() - shard.openLoad(nowMillis);
		boolean isReserved = serviceClass != ServiceClass.URGENT && shard.recentDemand().hasRecentUrgent(nowMillis)
				&& shard.expectedMillisToRelease() > MAX_URGENT_WAIT_MILLIS;
		return freeSlots > (isReserved ? reservedSlots(shard) : 0) || !shard.hasOpenTarget();
	}

	private int reservedSlots(Shard shard) {
		int reserved = Math.max(1, shard.openSlots() * this.settings.urgentReservePercent() / PERCENT);
		return (shard.openSlots() > shard.openTargets()) ? reserved : 0;
	}

	/**
	 * Returns the most grants of bulk work that a target may hold.
	 * @param shard the shard
	 * @param slots the target
	 * @param nowMillis the time
	 * @return the number of grants; at least one
	 */
	int bulkLimit(Shard shard, TargetSlots slots, long nowMillis) {
		int slotCount = slots.target().slots();
		if (!shard.recentDemand().hasRecentNonBulk(nowMillis)) {
			return slotCount;
		}
		double meanNonBulkGrants = shard.recentDemand().meanNonBulkGrants();
		double reservedShare = (meanNonBulkGrants + NON_BULK_DEVIATIONS * Math.sqrt(meanNonBulkGrants))
				/ Math.max(1, shard.openSlots());
		double maxBulkShare = Math.min(this.settings.maxBulkPercent() / (double) PERCENT, 1 - reservedShare);
		return Math.max(1, (int) Math.round(slotCount * maxBulkShare));
	}

}
