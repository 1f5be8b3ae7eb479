package org.mustardlane.core.route;

/**
 * The capabilities of each engine of a pool.
 *
 * @param slots maximum number of requests processed concurrently
 * @param cacheTokens capacity of the key-value cache in tokens, shared by running
 * requests and cached prefixes
 * @param copiesPrefixes whether engines can copy cached prefixes from each other
 */
public record EngineSpec(int slots, long cacheTokens, boolean copiesPrefixes) {

}
