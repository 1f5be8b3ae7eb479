package org.mustardlane.gateway.front;

/**
 * Memory limits for the connections of callers.
 *
 * @param maxHeaderBytes maximum size of a request head, which applies even before routes
 * with their own limits are loaded
 * @param maxBufferedBodyBytes maximum size of all buffered bodies of all connections
 * together
 */
public record FrontSettings(int maxHeaderBytes, long maxBufferedBodyBytes) {

}
