package org.mustardlane.core.placement;

/**
 * The part of a prompt that other requests share.
 *
 * @param hash hash of the prefix, equal on all routers
 * @param tokens length of the prefix in tokens, which an engine has to prefill unless
 * they are cached
 */
public record SharedPrefix(long hash, int tokens) {

}
