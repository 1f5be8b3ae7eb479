package org.mustardlane.proof.deployment;

/**
 * The performance and capacity of a simulated engine.
 *
 * @param slots number of requests that the engine runs at once
 * @param maxQueuedRequests number of waiting requests from which the engine rejects
 * further ones
 * @param memoryTokens number of tokens of requests and cached prefixes that fit into
 * memory
 * @param stepMillis base duration of a step, which generates one token for each running
 * request
 * @param stepMillisPerRequest additional duration of a step for each running request
 * @param promptTokensPerMillis number of prompt tokens processed per millisecond
 * @param chunkTokens maximum number of prompt tokens processed in one step
 * @param copyTokensPerMillis number of prefix tokens copied from another engine per
 * millisecond
 */
public record SimulatedEngineSettings(int slots, int maxQueuedRequests, long memoryTokens, double stepMillis,
		double stepMillisPerRequest, double promptTokensPerMillis, int chunkTokens, double copyTokensPerMillis) {

	/**
	 * An engine as specified for the users' sites.
	 */
	public static final SimulatedEngineSettings SITE_ENGINE = new SimulatedEngineSettings(64, 192, 518_159, 4.23,
			0.0227, 64.2, 2048, 565);

	/**
	 * An engine as specified for the users' large fleets.
	 */
	public static final SimulatedEngineSettings LARGE_FLEET_ENGINE = new SimulatedEngineSettings(16, 48, 310_785, 4.23,
			0.0227, 64.2, 2048, 565);

	/**
	 * Returns the duration of one step.
	 * @param running number of running requests
	 * @param promptTokens number of prompt tokens processed in the step
	 * @return the duration in milliseconds
	 */
	double stepDurationMillis(int running, double promptTokens) {
		return this.stepMillis + this.stepMillisPerRequest * running + promptTokens / this.promptTokensPerMillis;
	}

}
