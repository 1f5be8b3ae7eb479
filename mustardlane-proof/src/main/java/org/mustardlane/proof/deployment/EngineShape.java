package org.mustardlane.proof.deployment;

/**
 * How fast and how large an engine of the model is.
 *
 * @param slots requests that it runs at once
 * @param queuedRequests requests that wait there before it refuses
 * @param memoryTokens tokens of requests and kept prefixes that it holds
 * @param stepMillis time of one step, in which each running request gets a token
 * @param stepMillisPerRequest what each running request adds to a step
 * @param promptTokensPerMillis prompt tokens that are read in a millisecond
 * @param chunkTokens prompt tokens that one step reads at most
 * @param copyTokensPerMillis tokens of a prefix that are copied from another engine in a
 * millisecond
 */
public record EngineShape(int slots, int queuedRequests, long memoryTokens, double stepMillis,
		double stepMillisPerRequest, double promptTokensPerMillis, int chunkTokens, double copyTokensPerMillis) {

	/**
	 * An engine of the users' sites, as their pages state it.
	 */
	public static final EngineShape OF_THE_SITES = new EngineShape(64, 192, 518_159, 4.23, 0.0227, 64.2, 2048, 565);

	/**
	 * Returns how long one step takes.
	 * @param running requests that run
	 * @param promptTokens prompt tokens that it reads
	 * @return the time in milliseconds
	 */
	double durationMillis(int running, double promptTokens) {
		return this.stepMillis + this.stepMillisPerRequest * running + promptTokens / this.promptTokensPerMillis;
	}

}
