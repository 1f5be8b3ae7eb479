package org.mustardlane.core.admission;

/**
 * Holds the limits and intervals of admission.
 *
 * @param policy how targets are chosen and queued requests are ordered
 * @param seed seed of the random number generator
 * @param grantLeaseMillis time after which a grant expires unless it is renewed
 * @param warmUpMillis time after taking over a shard during which the new owner relies on
 * load reports and renewals to count the slots in use
 * @param pollIntervalMillis time between two polls of a target
 * @param loadIntervalMillis shortest time between two load messages of a shard
 * @param idleLoadIntervalMillis time between two load messages of a shard whose load does
 * not change
 * @param loadValidityMillis time after which a load received from another owner expires
 * @param loadBytesPerSecond average limit of the bytes of load messages sent per second
 * @param queueLimit largest number of requests queued in one shard
 * @param prefixMissMillis extra time that a request takes on a target that has not cached
 * the prefix of its chat
 * @param maxBulkPercent largest percentage of a target's slots for bulk requests if
 * urgent or interactive requests have arrived recently
 * @param urgentReservePercent percentage of a shard's slots reserved for urgent requests
 */
public record AdmissionSettings(AdmissionPolicy policy, long seed, int grantLeaseMillis, int warmUpMillis,
		int pollIntervalMillis, int loadIntervalMillis, int idleLoadIntervalMillis, int loadValidityMillis,
		int loadBytesPerSecond, int queueLimit, int prefixMissMillis, int maxBulkPercent, int urgentReservePercent) {

	/**
	 * Returns the default production settings.
	 * @param policy how targets are chosen and queued requests are ordered
	 * @param seed seed of the random number generator
	 * @return the settings
	 */
	public static AdmissionSettings defaults(AdmissionPolicy policy, long seed) {
		return new AdmissionSettings(policy, seed, 3000, 1500, 1000, 50, 1000, 3500, 2048, 2048, 100, 75, 5);
	}

}
