package org.mustardlane.router.caller;

/**
 * What one caller's connection may use.
 *
 * @param lineBytes longest request line
 * @param headerBytes largest set of headers
 * @param bodyBytes largest body of a request
 * @param heldAnswerBytes largest answer that is held whole before it is sent
 * @param idleMillis longest time without a byte from a caller that is sending, and
 * without progress of a caller that is receiving
 */
public record CallerLimits(int lineBytes, int headerBytes, int bodyBytes, int heldAnswerBytes, int idleMillis) {

}
