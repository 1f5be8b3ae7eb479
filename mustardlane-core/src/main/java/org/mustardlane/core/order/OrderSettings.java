package org.mustardlane.core.order;

/**
 * Limits and times of the orders to engines.
 *
 * @param leaseMillis how long a lease lasts
 * @param clockMarginMillis largest difference between the clocks of a VM and the platform
 * @param decisionMillis how long a decision may be issued after it was made; shorter than
 * the retention time of the log
 * @param outstandingMillis how long an order without an answer keeps its engine blocked
 * @param weightReads most orders that read weights in one interval
 * @param weightIntervalMillis the interval
 * @param reportAgeMillis how old a load report may be
 * @param headroomPercent capacity that must stay, in percent of the load
 * @param retryMillis when a record that was not read back is appended again
 */
public record OrderSettings(long leaseMillis, long clockMarginMillis, long decisionMillis, long outstandingMillis,
		int weightReads, long weightIntervalMillis, long reportAgeMillis, int headroomPercent, long retryMillis) {

	/**
	 * The settings of a router that was told nothing else.
	 */
	public static final OrderSettings DEFAULT = new OrderSettings(15_000, 2_000, 300_000, 120_000, 4, 60_000, 5_000,
			120, 2_000);

}
