package org.mustardlane.core.claim;

import org.mustardlane.core.model.membership.Ownership;

/**
 * Limits and times of the claims.
 *
 * @param windowMillis how long a key stays taken after its claim
 * @param patienceMillis longest wait for the log before an ask is refused
 * @param answerMarginMillis how long before its deadline an ask is answered at the latest
 * @param clockMarginMillis largest difference between the clocks of a VM and the platform
 * @param appendGapMillis shortest time between two appends of a partition
 * @param checkpointAgeMillis age at which a record is carried forward; well below the
 * retention time of the log
 * @param retryAfterMillis shortest time until a refused caller should come back
 * @param batchRecords most records of one append
 * @param pendingLimit most asks of a partition that wait for an answer
 * @param factLimit most facts of a partition that are kept in memory
 * @param storedAnswerMillis how long an answer is kept; shorter than the retention time
 * @param storedAnswerBytes largest body of an answer that is kept in the log
 * @param storedAnswersBytes most bytes of answers of a partition that are kept in memory
 */
public record ClaimSettings(long windowMillis, long patienceMillis, long answerMarginMillis, long clockMarginMillis,
		long appendGapMillis, long checkpointAgeMillis, long retryAfterMillis, int batchRecords, int pendingLimit,
		int factLimit, long storedAnswerMillis, int storedAnswerBytes, long storedAnswersBytes) {

	private static final int FLEET_APPENDS_PER_SECOND = 160;

	private static final long APPEND_GAP_MILLIS = Ownership.CLAIM_PARTITIONS * 1_000L / FLEET_APPENDS_PER_SECOND;

	/**
	 * The settings of a router that was told nothing else.
	 */
	public static final ClaimSettings DEFAULT = new ClaimSettings(3_600_000, 3_000, 200, 5_000, APPEND_GAP_MILLIS,
			1_200_000, 1_000, 200, 10_000, 400_000, 300_000, 4_096, 16_777_216);

}
