package org.mustardlane.router.caller;

/**
 * Limits of the connections of callers.
 *
 * @param lineBytes longest request line
 * @param headerBytes largest total size of the headers of a request
 * @param bodyBytes largest body of a request
 * @param totalBodyBytes largest total size of the request bodies that are held at once,
 * over all connections
 * @param bufferedResponseBytes largest response that is buffered and sent as a whole
 * @param idleMillis longest time without a byte from the caller while no response is
 * pending, and without progress while a response is written
 */
public record CallerLimits(int lineBytes, int headerBytes, int bodyBytes, int totalBodyBytes, int bufferedResponseBytes,
		int idleMillis) {

}
