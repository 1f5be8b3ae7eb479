package org.mustardlane.core.admission;

import org.mustardlane.core.model.catalogue.ServiceClass;

/**
 * Limits the slots that each service class may hold.
 *
 * <p>
 * Some slots of a shard are reserved for urgent requests while such requests have arrived
 * recently. Bulk requests leave room for the recent level of urgent and interactive
 * grants, and hold at most a configured percentage of a target while those requests
 * arrive.
 */
final class SlotLimits {

	private static final int PERCENT = 100;

	/**
	 * Bulk requests leave room for the mean number of urgent and interactive grants plus
	 * this many standard deviations. The standard deviation is taken to be the square
	 * root of the mean.
	 */
	private static final double RESERVED_DEVIATIONS = 1;

	/**
	 * No slot is reserved for urgent requests if one is expected to become free within
	 * this time.
	 */
	private static final double MAX_URGENT_WAIT_MILLIS = 50;

	private final AdmissionSettings settings;

	SlotLimits(AdmissionSettings settings) {
		this.settings = settings;
	}

	/**
	 * Checks whether a shard has a free slot for a service class.
	 * @param shard the shard
	 * @param serviceClass the service class
	 * @param nowMillis the current time in milliseconds
	 * @return false if no slot is free or the free ones are reserved for urgent requests;
	 * always true if no target is open, because a target that its health closed may still
	 * take a few requests
	 */
	boolean admits(Shard shard, ServiceClass serviceClass, long nowMillis) {
		int freeSlots = shard.slotsOfOpenTargets() - shard.loadOfOpenTargets(nowMillis);
		boolean isReserved = serviceClass != ServiceClass.URGENT && shard.recentDemand().hasRecentUrgent(nowMillis)
				&& shard.expectedMillisToRelease() > MAX_URGENT_WAIT_MILLIS;
		return freeSlots > (isReserved ? reservedSlots(shard) : 0) || !shard.hasOpenTarget();
	}

	private int reservedSlots(Shard shard) {
		int reserved = Math.max(1, shard.slotsOfOpenTargets() * this.settings.urgentReservePercent() / PERCENT);
		return (shard.slotsOfOpenTargets() > shard.openTargetCount()) ? reserved : 0;
	}

	/**
	 * Returns the largest number of bulk grants that a target may hold.
	 * @param shard the shard
	 * @param slots the target
	 * @param nowMillis the current time in milliseconds
	 * @return the number of grants, at least 1
	 */
	int bulkLimit(Shard shard, TargetSlots slots, long nowMillis) {
		int slotCount = slots.target().slots();
		if (!shard.recentDemand().hasRecentNonBulk(nowMillis)) {
			return slotCount;
		}
		double meanNonBulkGrants = shard.recentDemand().meanNonBulkGrants();
		double reservedShare = (meanNonBulkGrants + RESERVED_DEVIATIONS * Math.sqrt(meanNonBulkGrants))
				/ Math.max(1, shard.slotsOfOpenTargets());
		double maxBulkShare = Math.min(this.settings.maxBulkPercent() / (double) PERCENT, 1 - reservedShare);
		return Math.max(1, (int) Math.round(slotCount * maxBulkShare));
	}

}
