package org.mustardlane.gateway.front;

/**
 * What connections of callers may use before routes with limits are known, and together.
 *
 * @param maxHeaderBytes most bytes of a head
 * @param maxBufferedBodyBytes most bytes of bodies held at once, over all connections
 */
public record FrontSettings(int maxHeaderBytes, long maxBufferedBodyBytes) {

}
