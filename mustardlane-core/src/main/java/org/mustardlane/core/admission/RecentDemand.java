package org.mustardlane.core.admission;

import org.mustardlane.core.model.catalogue.ServiceClass;

/**
 * Tracks which service classes have recently requested slots in a shard.
 */
final class RecentDemand {

	private static final long URGENT_WINDOW_MILLIS = 30_000;

	private static final long RECENT_WINDOW_MILLIS = 10_000;

	private static final double MEAN_DECAY_MILLIS = 2000;

	private long urgentWindowEndMillis;

	private long nonBulkWindowEndMillis;

	private long nonUrgentWindowEndMillis;

	private double meanNonBulkGrants;

	private long sampledAtMillis;

	void recordArrival(ServiceClass serviceClass, long nowMillis) {
		if (serviceClass == ServiceClass.URGENT) {
			this.urgentWindowEndMillis = nowMillis + URGENT_WINDOW_MILLIS;
		}
		else {
			this.nonUrgentWindowEndMillis = nowMillis + RECENT_WINDOW_MILLIS;
		}
		if (serviceClass != ServiceClass.BULK) {
			this.nonBulkWindowEndMillis = nowMillis + RECENT_WINDOW_MILLIS;
		}
	}

	/**
	 * Updates the moving average of the number of urgent and interactive grants.
	 * @param nonBulkGrants the current number of urgent and interactive grants
	 * @param nowMillis the current time in milliseconds
	 */
	void sampleNonBulkGrants(int nonBulkGrants, long nowMillis) {
		double weight = 1 - Math.exp((this.sampledAtMillis - nowMillis) / MEAN_DECAY_MILLIS);
		this.meanNonBulkGrants += weight * (nonBulkGrants - this.meanNonBulkGrants);
		this.sampledAtMillis = nowMillis;
	}

	boolean hasRecentUrgent(long nowMillis) {
		return nowMillis < this.urgentWindowEndMillis;
	}

	boolean hasRecentNonBulk(long nowMillis) {
		return nowMillis < this.nonBulkWindowEndMillis;
	}

	boolean hasRecentNonUrgent(long nowMillis) {
		return nowMillis < this.nonUrgentWindowEndMillis;
	}

	double meanNonBulkGrants() {
		return this.meanNonBulkGrants;
	}

}
