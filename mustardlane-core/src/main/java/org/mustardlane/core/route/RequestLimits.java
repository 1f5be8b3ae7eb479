package org.mustardlane.core.route;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerBytes most bytes of a request's head
 * @param bodyBytes most bytes of a request's body
 * @param headerTimeoutMillis longest time from the first byte of a head to its end
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record RequestLimits(int headerBytes, int bodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

}
