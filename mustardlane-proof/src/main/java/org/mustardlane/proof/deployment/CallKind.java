package org.mustardlane.proof.deployment;

/**
 * A kind of generation that callers ask for.
 *
 * @param name its name
 * @param perSecond how many arrive in a second
 * @param sharedTokens tokens of the prefix that calls share
 * @param prefixes number of different prefixes
 * @param ownTokens prompt tokens of the call alone
 * @param outputTokens tokens that are generated
 * @param objectiveMillis within which the first token is on time
 */
public record CallKind(String name, double perSecond, int sharedTokens, int prefixes, int ownTokens, int outputTokens,
		int objectiveMillis) {

}
