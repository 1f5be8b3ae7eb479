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

	private static final double SHORT_DEVIATIONS = 1;

	/**
	 * Nothing is kept for urgent work where a slot comes free within this time anyway.
	 */
	private static final double URGENT_WAIT_MILLIS = 50;

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
		int free = shard.openSlots() - shard.openLoad(nowMillis);
		boolean kept = serviceClass != ServiceClass.URGENT && shard.work().urgentIsAbout(nowMillis)
				&& shard.expectedReleaseMillis() > URGENT_WAIT_MILLIS;
		return free > (kept ? reserve(shard) : 0) || !shard.hasOpenTarget();
	}

	private int reserve(Shard shard) {
		int reserve = Math.max(1, shard.openSlots() * this.settings.urgentReservePercent() / PERCENT);
		return (shard.openSlots() > shard.openTargets()) ? reserve : 0;
	}

	/**
	 * Returns the most grants of bulk work that a target may hold.
	 * @param shard the shard
	 * @param slots the target
	 * @param nowMillis the time
	 * @return the number of grants; at least one
	 */
	int bulkLimit(Shard shard, TargetSlots slots, long nowMillis) {
		int all = slots.target().slots();
		if (!shard.work().shortIsAbout(nowMillis)) {
			return all;
		}
		double meanShort = shard.work().meanShort();
		double kept = (meanShort + SHORT_DEVIATIONS * Math.sqrt(meanShort)) / Math.max(1, shard.openSlots());
		double most = Math.min(this.settings.bulkPercent() / (double) PERCENT, 1 - kept);
		return Math.max(1, (int) Math.round(all * most));
	}

}
