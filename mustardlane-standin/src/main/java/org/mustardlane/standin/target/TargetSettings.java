package org.mustardlane.standin.target;

/**
 * How a target behaves without faults.
 *
 * @param slots how many requests run at once
 * @param seed seed of its random numbers
 * @param loadLagMillis by how much a load report is late
 * @param checksFencing whether an order with an old fencing number is refused
 * @param serviceMillis mean time of a call of a plain service
 * @param tokenMillis mean time between tokens of an engine that runs one generation
 * @param batchPercent by how much that time grows with each further generation
 * @param prefillBytesPerMilli how many uncached bytes of a prompt are read in a
 * millisecond
 * @param cacheBytes size of the prefix cache
 * @param eventLagMillis by how much cache events are late
 * @param eventGapPercent how many cache events are lost
 * @param defaultTokens length of an answer whose request does not say it
 */
public record TargetSettings(int slots, long seed, int loadLagMillis, boolean checksFencing, double serviceMillis,
		double tokenMillis, double batchPercent, double prefillBytesPerMilli, long cacheBytes, int eventLagMillis,
		int eventGapPercent, int defaultTokens) {

}
