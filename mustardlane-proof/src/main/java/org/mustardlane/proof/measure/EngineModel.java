package org.mustardlane.proof.measure;

import java.util.List;

/**
 * How the engines of a measuring run behave.
 *
 * @param engines number of engines
 * @param slots requests that an engine runs at once
 * @param tokenMillis mean time between tokens of an engine that runs one generation
 * @param batchPercent by how much that time grows with each further generation
 * @param prefillBytesPerMilli how many uncached bytes of a prompt are read in a
 * millisecond
 * @param cacheBytes size of the prefix cache of an engine
 * @param seed seed of the engines
 */
record EngineModel(int engines, int slots, double tokenMillis, double batchPercent, double prefillBytesPerMilli,
		int cacheBytes, long seed) {

	private static final double PERCENT = 100;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Returns the time between tokens of a full engine.
	 * @return the time in milliseconds
	 */
	double fullTokenMillis() {
		return this.tokenMillis * (1 + (this.slots - 1) * this.batchPercent / PERCENT);
	}

	/**
	 * Returns how many tokens all engines produce in a second when all slots are taken.
	 * @return the number
	 */
	double tokensPerSecond() {
		return this.engines * this.slots * MILLIS_PER_SECOND / fullTokenMillis();
	}

	/**
	 * Returns how many requests all engines serve in a second.
	 * @param tokens tokens of a request
	 * @param promptBytes uncached bytes of its prompt
	 * @return the number
	 */
	double requestsPerSecond(double tokens, double promptBytes) {
		double serviceMillis = 1 + promptBytes / this.prefillBytesPerMilli + tokens * fullTokenMillis();
		return this.engines * this.slots * MILLIS_PER_SECOND / serviceMillis;
	}

	/**
	 * Returns the flags of the engines.
	 * @return the flags
	 */
	List<String> flags() {
		return List.of("--token-millis", Double.toString(this.tokenMillis), "--batch-percent",
				Double.toString(this.batchPercent), "--prefill-bytes-per-milli",
				Double.toString(this.prefillBytesPerMilli), "--cache-bytes", Integer.toString(this.cacheBytes),
				"--load-lag-millis", "500", "--event-lag-millis", "500", "--seed", Long.toString(this.seed));
	}

}
