package org.mustardlane.core.retry;

/**
 * The number of retries that all routers together may make to a pool.
 *
 * @param ratio retries per first attempt within the window
 * @param fixedRepeats additional retries within the window, regardless of the number of
 * first attempts
 * @param windowMillis length of the sliding window
 */
public record RetryLimits(double ratio, int fixedRepeats, int windowMillis) {

}
