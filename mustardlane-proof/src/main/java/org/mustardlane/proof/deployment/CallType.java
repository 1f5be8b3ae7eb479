package org.mustardlane.proof.deployment;

/**
 * A type of generation request with its arrival rate and sizes.
 *
 * @param name the name of the type
 * @param arrivalsPerSecond mean number of arrivals per second
 * @param sharedTokens number of prompt tokens in the shared prefix
 * @param prefixCount number of different shared prefixes
 * @param uniqueTokens number of prompt tokens after the shared prefix
 * @param outputTokens number of generated tokens
 * @param firstTokenObjectiveMillis time limit in milliseconds for the first token to be
 * on time
 */
public record CallType(String name, double arrivalsPerSecond, int sharedTokens, int prefixCount, int uniqueTokens,
		int outputTokens, int firstTokenObjectiveMillis) {

}
