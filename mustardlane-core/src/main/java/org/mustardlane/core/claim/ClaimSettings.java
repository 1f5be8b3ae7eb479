package org.mustardlane.core.claim;

import org.mustardlane.core.model.membership.Ownership;

/**
 * Limits and durations for handling claims.
 *
 * @param windowMillis how long a key stays taken after it was claimed
 * @param patienceMillis maximum wait for the log before a claim request is refused
 * @param answerMarginMillis how long before its deadline a claim request is replied to at
 * the latest
 * @param clockMarginMillis maximum difference between the clocks of a VM and the platform
 * @param appendGapMillis minimum time between two appends of a partition
 * @param checkpointAgeMillis age at which a record is copied into a checkpoint; must be
 * well below the retention time of the log
 * @param retryAfterMillis minimum retry delay sent with a refusal
 * @param batchRecords maximum number of records in one append
 * @param pendingLimit maximum number of pending claim requests of a partition, and of its
 * releases and completions that are not read back
 * @param factLimit number of claims and releases in memory from which a partition refuses
 * new claims
 * @param storedAnswerMillis how long a response is stored; shorter than the retention
 * time of the log
 * @param storedAnswerBytes maximum body size of a response that is stored in the log
 * @param storedAnswersBytes maximum total size of the response bodies of a partition that
 * are kept in memory
 */
public record ClaimSettings(long windowMillis, long patienceMillis, long answerMarginMillis, long clockMarginMillis,
		long appendGapMillis, long checkpointAgeMillis, long retryAfterMillis, int batchRecords, int pendingLimit,
		int factLimit, long storedAnswerMillis, int storedAnswerBytes, long storedAnswersBytes) {

	private static final int FLEET_APPENDS_PER_SECOND = 160;

	private static final long APPEND_GAP_MILLIS = Ownership.CLAIM_PARTITIONS * 1_000L / FLEET_APPENDS_PER_SECOND;

	/**
	 * The default settings.
	 */
	public static final ClaimSettings DEFAULT = new ClaimSettings(3_600_000, 3_000, 200, 5_000, APPEND_GAP_MILLIS,
			1_200_000, 1_000, 200, 10_000, 400_000, 300_000, 4_096, 16_777_216);

}
