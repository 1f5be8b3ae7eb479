package org.mustardlane.core.route;

/**
 * Limits on the size of requests and on the time that callers take to send them.
 *
 * @param headerBytes maximum size of the head of a request
 * @param bodyBytes maximum size of a request body
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of
 * its head
 * @param idleTimeoutMillis maximum time that a connection may stay open without a request
 */
public record RequestLimits(int headerBytes, int bodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

}
