package org.mustardlane.core.route;

/**
 * What each engine of a service offers.
 *
 * @param slots requests that it runs at once
 * @param cacheTokens tokens that its memory holds, running requests and cached prefixes
 * together
 * @param copies whether engines copy prefixes from each other
 */
public record EngineSpec(int slots, long cacheTokens, boolean copies) {

}
