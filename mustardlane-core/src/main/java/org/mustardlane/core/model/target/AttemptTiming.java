package org.mustardlane.core.model.target;

/**
 * Times measured during one attempt, which slow-target detection uses.
 *
 * @param firstTokenMillis time from sending to the first byte of the response, -1 if none
 * arrived
 * @param worstTokenGapMillis longest time between two consecutive receptions of bytes, -1
 * if there were fewer than two
 * @param serviceMillis time from sending to the end of the attempt
 */
public record AttemptTiming(long firstTokenMillis, long worstTokenGapMillis, long serviceMillis) {

}
