package org.mustardlane.standin.target;

/**
 * Timing and capacity of a fake target when no faults are injected. Services ignore the
 * settings of engines and the other way round.
 *
 * @param slots number of requests that run concurrently
 * @param seed seed of the random number generator
 * @param loadLagMillis age of the served load report in milliseconds
 * @param checksFencing whether an order is rejected if its fencing number is lower than
 * the highest one seen
 * @param serviceMillis mean duration of a call of a plain service in milliseconds
 * @param tokenMillis mean time between two tokens in milliseconds, for an engine that
 * runs a single generation
 * @param batchPercent percentage by which the time between tokens grows with each further
 * concurrent generation
 * @param prefillBytesPerMilli number of uncached prompt bytes that are processed per
 * millisecond
 * @param cacheBytes capacity of the prefix cache in bytes
 * @param eventLagMillis delay in milliseconds until a cache event can be read
 * @param eventGapPercent percentage of cache events that are lost
 * @param defaultTokens number of tokens of a response whose request gives no maximum
 */
public record TargetSettings(int slots, long seed, int loadLagMillis, boolean checksFencing, double serviceMillis,
		double tokenMillis, double batchPercent, double prefillBytesPerMilli, long cacheBytes, int eventLagMillis,
		int eventGapPercent, int defaultTokens) {

}
