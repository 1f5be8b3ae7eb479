package org.mustardlane.core.model.target;

/**
 * How fast one attempt was answered; the input of slow-target detection.
 *
 * @param firstTokenMillis from sending to the first byte of the answer, -1 if none came
 * @param worstTokenGapMillis longest time between two bytes events, -1 if there were
 * fewer than two
 * @param serviceMillis from sending to the end
 */
public record AttemptTiming(long firstTokenMillis, long worstTokenGapMillis, long serviceMillis) {

}
