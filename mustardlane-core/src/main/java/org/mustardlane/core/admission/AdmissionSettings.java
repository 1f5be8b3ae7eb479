package org.mustardlane.core.admission;

/**
 * The tunable values of admission.
 *
 * @param policy how targets are chosen and the queue is ordered
 * @param seed seed of the random numbers
 * @param grantLeaseMillis how long a grant lasts without a renewal
 * @param warmUpMillis how long a new owner trusts only reports and renewals
 * @param pollIntervalMillis time between two polls of a target
 * @param loadIntervalMillis shortest time between two loads sent for a shard
 * @param idleLoadIntervalMillis time between two loads sent for a shard without a change
 * @param loadValidityMillis how long the load of another shard counts
 * @param loadBytesPerSecond most bytes of loads sent each second, on average
 * @param queueLimit most requests that wait in one shard
 * @param prefixMissMillis what a chat loses at another target than its home
 * @param maxBulkPercent part of each target's slots that bulk work may hold while shorter
 * work is about
 * @param urgentReservePercent part of a shard's slots kept for urgent work
 */
public record AdmissionSettings(AdmissionPolicy policy, long seed, int grantLeaseMillis, int warmUpMillis,
		int pollIntervalMillis, int loadIntervalMillis, int idleLoadIntervalMillis, int loadValidityMillis,
		int loadBytesPerSecond, int queueLimit, int prefixMissMillis, int maxBulkPercent, int urgentReservePercent) {

	/**
	 * Returns the values for production.
	 * @param policy how targets are chosen and the queue is ordered
	 * @param seed seed of the random numbers
	 * @return the settings
	 */
	public static AdmissionSettings of(AdmissionPolicy policy, long seed) {
		return new AdmissionSettings(policy, seed, 3000, 1500, 1000, 50, 1000, 3500, 2048, 2048, 100, 75, 5);
	}

}
