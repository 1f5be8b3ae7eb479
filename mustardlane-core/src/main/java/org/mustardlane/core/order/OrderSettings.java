package org.mustardlane.core.order;

/**
 * Limits and durations for orders to engines.
 *
 * @param leaseMillis duration of a lease
 * @param clockMarginMillis maximum difference between the clocks of a VM and the platform
 * @param decisionMillis how long after it was made a decision can be issued; shorter than
 * the retention time of the log
 * @param outstandingMillis how long an order without a result blocks its engine
 * @param weightReads maximum number of orders per interval that read model weights
 * @param weightIntervalMillis length of the interval for {@code weightReads}
 * @param reportAgeMillis maximum age of a load report
 * @param headroomPercent slots that must remain in a pool, in percent of its load
 * @param retryMillis delay before a record that was not read back is appended again
 */
public record OrderSettings(long leaseMillis, long clockMarginMillis, long decisionMillis, long outstandingMillis,
		int weightReads, long weightIntervalMillis, long reportAgeMillis, int headroomPercent, long retryMillis) {

	/**
	 * The default settings.
	 */
	public static final OrderSettings DEFAULT = new OrderSettings(15_000, 2_000, 300_000, 120_000, 4, 60_000, 5_000,
			120, 2_000);

}
