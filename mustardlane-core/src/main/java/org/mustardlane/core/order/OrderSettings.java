package org.mustardlane.core.order;

/**
 * Limits and durations for orders to engines.
 *
 * @param leaseMillis duration of a lease
 * @param clockMarginMillis maximum difference between the clocks of a VM and the platform
 * @param decisionLifetimeMillis how long after it was made a decision can be issued;
 * shorter than the retention time of the log
 * @param outstandingTimeoutMillis how long an order without a result blocks its engine
 * @param maxWeightReads maximum number of orders per interval that read model weights
 * @param weightIntervalMillis length of the interval for {@code maxWeightReads}
 * @param maxReportAgeMillis maximum age of a load report
 * @param requiredCapacityPercent slots that must remain in a pool, in percent of its load
 * @param retryMillis delay before a record that was not read back is appended again
 */
public record OrderSettings(long leaseMillis, long clockMarginMillis, long decisionLifetimeMillis,
		long outstandingTimeoutMillis, int maxWeightReads, long weightIntervalMillis, long maxReportAgeMillis,
		int requiredCapacityPercent, long retryMillis) {

	/**
	 * The default settings.
	 */
	public static final OrderSettings DEFAULT = new OrderSettings(15_000, 2_000, 300_000, 120_000, 4, 60_000, 5_000,
			120, 2_000);

}
