package org.mustardlane.gateway.front;

/**
 * What connections of callers may use before routes with limits are known, and together.
 *
 * @param headerBytes most bytes of a head
 * @param allBodiesBytes most bytes of bodies held at once, over all connections
 */
public record FrontSettings(int headerBytes, long allBodiesBytes) {

}
