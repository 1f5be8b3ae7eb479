package org.mustardlane.core.claim;

import org.mustardlane.core.model.membership.Ownership;

/**
 * Limits and durations for handling claims.
 *
 * @param windowMillis how long a key stays taken after it was claimed
 * @param logTimeoutMillis maximum wait for the log before a claim request is refused
 * @param replyMarginMillis how long before its deadline a claim request is replied to at
 * the latest
 * @param clockMarginMillis maximum difference between the clocks of a VM and the platform
 * @param appendIntervalMillis minimum time between two appends of a partition
 * @param checkpointAgeMillis age at which a record is copied into a checkpoint; must be
 * well below the retention time of the log
 * @param retryAfterMillis minimum retry delay sent with a refusal
 * @param maxBatchRecords maximum number of records in one append
 * @param maxPendingClaims maximum number of pending claim requests of a partition, and of
 * its releases and completions that are not read back
 * @param maxFacts number of claims and releases in memory from which a partition refuses
 * new claims
 * @param storedResponseMillis how long a response is stored; shorter than the retention
 * time of the log
 * @param maxStoredResponseBytes maximum body size of a response that is stored in the log
 * @param maxTotalResponseBytes maximum total size of the response bodies of a partition
 * that are kept in memory
 */
public record ClaimSettings(long windowMillis, long logTimeoutMillis, long replyMarginMillis, long clockMarginMillis,
		long appendIntervalMillis, long checkpointAgeMillis, long retryAfterMillis, int maxBatchRecords,
		int maxPendingClaims, int maxFacts, long storedResponseMillis, int maxStoredResponseBytes,
		long maxTotalResponseBytes) {

	private static final int MAX_FLEET_APPENDS_PER_SECOND = 160;

	private static final long APPEND_INTERVAL_MILLIS = Ownership.CLAIM_PARTITIONS * 1_000L
			/ MAX_FLEET_APPENDS_PER_SECOND;

	/**
	 * The default settings.
	 */
	public static final ClaimSettings DEFAULT = new ClaimSettings(3_600_000, 3_000, 200, 5_000, APPEND_INTERVAL_MILLIS,
			1_200_000, 1_000, 200, 10_000, 400_000, 300_000, 4_096, 16_777_216);

}
