package org.mustardlane.proof.deployment;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Collects the measurements of a simulation run.
 *
 * <p>
 * Not thread-safe.
 */
final class ResultCounter {

	private static final int HISTOGRAM_DIGITS = 3;

	private static final int MEDIAN = 50;

	private static final int HIGH_PERCENTILE = 99;

	private static final int WINDOW_MILLIS = 2000;

	private static final int LEAST_CALLS_OF_A_WINDOW = 20;

	private static final double BOUND_FACTOR = 2;

	private static final double BOUND_SLACK = 3;

	private final Histogram firstTokenMillis = new Histogram(HISTOGRAM_DIGITS);

	private final Map<Integer, int[]> windows = new HashMap<>();

	private int calls;

	private int onTime;

	private int refused;

	private int broken;

	private int sends;

	private int sendsOverBound;

	void arrived(ModelCall call) {
		this.calls++;
		window(call)[0]++;
	}

	private int[] window(ModelCall call) {
		return this.windows.computeIfAbsent((int) (call.atMillis() / WINDOW_MILLIS), (number) -> new int[2]);
	}

	void begun(ModelCall call, double nowMillis) {
		double elapsedMillis = nowMillis - call.atMillis();
		this.firstTokenMillis.recordValue((long) elapsedMillis);
		if (elapsedMillis <= call.kind().objectiveMillis()) {
			this.onTime++;
			window(call)[1]++;
		}
	}

	void refused() {
		this.refused++;
	}

	void broken() {
		this.broken++;
	}

	/**
	 * Records that a call reached an engine.
	 * @param load number of requests that the engine runs or queues
	 * @param meanLoad mean load of the running engines
	 */
	void sent(int load, double meanLoad) {
		this.sends++;
		if (load > BOUND_FACTOR * meanLoad + BOUND_SLACK) {
			this.sendsOverBound++;
		}
	}

	ModelResult result(long prefixTokensRead) {
		double worst = this.windows.values()
			.stream()
			.filter((counts) -> counts[0] >= LEAST_CALLS_OF_A_WINDOW)
			.mapToDouble((counts) -> (double) counts[1] / counts[0])
			.min()
			.orElse(Double.NaN);
		return new ModelResult(this.calls, share(this.onTime, this.calls), share(this.refused, this.calls),
				share(this.broken, this.calls), this.firstTokenMillis.getValueAtPercentile(MEDIAN),
				this.firstTokenMillis.getValueAtPercentile(HIGH_PERCENTILE), worst, prefixTokensRead,
				share(this.sendsOverBound, this.sends));
	}

	private static double share(int part, int whole) {
		return (whole == 0) ? Double.NaN : (double) part / whole;
	}

}
