package org.mustardlane.core.placement;

/**
 * The part of a prompt that other requests share.
 *
 * @param hash hash of the part, alike in every router
 * @param tokens its length, which an engine reads again where it does not hold it
 */
public record SharedPrefix(long hash, int tokens) {

}
