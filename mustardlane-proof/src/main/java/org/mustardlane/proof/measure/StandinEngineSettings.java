package org.mustardlane.proof.measure;

import java.util.List;

/**
 * The performance of the engine stand-ins in a measurement.
 *
 * @param engines number of engines
 * @param slots number of requests that an engine runs at once
 * @param tokenMillis mean time between tokens in milliseconds while an engine runs one
 * generation
 * @param batchPercent increase of that time in percent for each further generation
 * @param prefillBytesPerMilli number of uncached prompt bytes processed per millisecond
 * @param cacheBytes size of the prefix cache of an engine in bytes
 * @param seed seed of the engines
 */
record StandinEngineSettings(int engines, int slots, double tokenMillis, double batchPercent,
		double prefillBytesPerMilli, int cacheBytes, long seed) {

	private static final double PERCENT = 100;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Returns the time between tokens of a fully loaded engine.
	 * @return the time in milliseconds
	 */
	double fullyLoadedTokenMillis() {
		return this.tokenMillis * (1 + (this.slots - 1) * this.batchPercent / PERCENT);
	}

	/**
	 * Returns the total token throughput of all engines while all slots are in use.
	 * @return the throughput per second
	 */
	double tokensPerSecond() {
		return this.engines * this.slots * MILLIS_PER_SECOND / fullyLoadedTokenMillis();
	}

	/**
	 * Returns the total request throughput of all engines while all slots are in use.
	 * @param tokens number of tokens generated per request
	 * @param promptBytes number of uncached prompt bytes per request
	 * @return the throughput per second
	 */
	double requestsPerSecond(double tokens, double promptBytes) {
		double serviceMillis = 1 + promptBytes / this.prefillBytesPerMilli + tokens * fullyLoadedTokenMillis();
		return this.engines * this.slots * MILLIS_PER_SECOND / serviceMillis;
	}

	/**
	 * Returns the command-line flags of the engine stand-in.
	 * @return the flags
	 */
	List<String> flags() {
		return List.of("--token-millis", Double.toString(this.tokenMillis), "--batch-percent",
				Double.toString(this.batchPercent), "--prefill-bytes-per-milli",
				Double.toString(this.prefillBytesPerMilli), "--cache-bytes", Integer.toString(this.cacheBytes),
				"--load-lag-millis", "500", "--event-lag-millis", "500", "--seed", Long.toString(this.seed));
	}

}
