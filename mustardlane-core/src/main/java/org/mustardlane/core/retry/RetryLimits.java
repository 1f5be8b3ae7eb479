package org.mustardlane.core.retry;

/**
 * How many repeated sends the routers together may make to a pool.
 *
 * @param ratio repeats for each first send in a window
 * @param fixedRepeats repeats besides, in a window
 * @param windowMillis length of the sliding window
 */
public record RetryLimits(double ratio, int fixedRepeats, int windowMillis) {

}
