package org.mustardlane.router.caller;

/**
 * What callers' connections may use.
 *
 * @param lineBytes longest request line
 * @param headerBytes largest set of headers
 * @param bodyBytes largest body of a request
 * @param allBodiesBytes most bytes of bodies that are held at once, over all connections
 * @param heldAnswerBytes largest answer that is held whole before it is sent
 * @param idleMillis longest time without a byte from a caller that is sending, and
 * without progress of a caller that is receiving
 */
public record CallerLimits(int lineBytes, int headerBytes, int bodyBytes, int allBodiesBytes, int heldAnswerBytes,
		int idleMillis) {

}
