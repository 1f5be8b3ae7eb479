package org.mustardlane.proof.deployment;

/**
 * A type of generation request with its arrival rate and sizes.
 *
 * @param name the name of the type
 * @param perSecond mean number of arrivals per second
 * @param sharedTokens number of prompt tokens in the shared prefix
 * @param prefixes number of different shared prefixes
 * @param ownTokens number of prompt tokens after the shared prefix
 * @param outputTokens number of generated tokens
 * @param objectiveMillis time limit in milliseconds for the first token to be on time
 */
public record CallKind(String name, double perSecond, int sharedTokens, int prefixes, int ownTokens, int outputTokens,
		int objectiveMillis) {

}
